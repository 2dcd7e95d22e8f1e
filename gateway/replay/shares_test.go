package replay_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/replay"
)

// warmUpTime is the time in which nodes do not know yet that an owner's keys are busy, and what
// came in it is worked off.
const warmUpTime = 5 * time.Second

// resultAfterWarmUp returns what became of requests in the rest of a replay.
func resultAfterWarmUp(l replay.Load, seed uint64) replay.Result {
	whole := replay.Run(l, seed)
	l.Length = warmUpTime
	before := replay.Run(l, seed)
	return replay.Result{
		InTime:   whole.InTime - before.InTime,
		Late:     whole.Late - before.Late,
		Overflow: whole.Overflow - before.Overflow,
		Sends:    whole.Sends - before.Sends,
	}
}

// A busy owner is kept full by nodes that each see it once in seconds, and its queue stays
// so short that most is answered in time. The aim is nine tenths of what it can run, and
// eight if it is said to run a quarter more or less than it does; six of them in time.
func TestSharesKeepABusyOwnerUtilized(t *testing.T) {
	for _, name := range []string{"busy-owner-21", "busy-owner-64", "busy-owner-295", "overused-owner-21", "overused-owner-64", "overused-owner-295"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := scenario(t, name)
			runs := 15 * (l.Length - warmUpTime).Seconds()
			for _, said := range []float64{0.8, 1, 1.25} {
				l.SaidToRun = said
				total, inTime := 0.0, 0.0
				for seed := range uint64(6) {
					result := resultAfterWarmUp(l, seed)
					total += float64(result.InTime+result.Late) / runs / 6
					inTime += float64(result.InTime) / runs / 6
				}
				g := gomega.NewWithT(t)
				t.Logf("said to run %v of what it can: %.2f answered, %.2f in time", said, total, inTime)
				least := 0.8
				if said == 1 {
					least = 0.9
				}
				g.Expect(total).To(gomega.BeNumerically(">", least), "said %v", said)
				g.Expect(inTime).To(gomega.BeNumerically(">", 0.6), "said %v", said)
			}
		})
	}
}

// The aim is that one in fifty requests arrives at a full owner.
func TestOwnerWithAShareRarelyOverflows(t *testing.T) {
	for _, name := range []string{"busy-owner-64", "busy-owner-295", "overused-owner-64", "overused-owner-295"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			full, sends := 0, 0
			for seed := range uint64(6) {
				result := resultAfterWarmUp(scenario(t, name), seed)
				full += result.Overflow
				sends += result.Sends
			}
			t.Logf("%d of %d", full, sends)
			gomega.NewWithT(t).Expect(float64(full)).To(gomega.BeNumerically("<", 0.02*float64(sends)))
		})
	}
}
