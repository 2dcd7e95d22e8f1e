package replay_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/replay"
)

// warmUpTime is the time until nodes know that an owner's keys are busy and the requests
// that arrived before that are worked off.
const warmUpTime = 5 * time.Second

// resultAfterWarmUp returns the outcomes of the requests in the rest of a replay.
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

// Nodes that each observe a busy owner once in several seconds keep it utilized, and its
// queue so short that most requests are answered in time. At least nine tenths of the
// owner's capacity must be answered, eight tenths if its assumed capacity is a quarter more
// or less than the real one, and six tenths in time.
func TestSharesKeepABusyOwnerUtilized(t *testing.T) {
	for _, name := range []string{"busy-owner-21", "busy-owner-64", "busy-owner-295", "overused-owner-21", "overused-owner-64", "overused-owner-295"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := scenario(t, name)
			runs := 15 * (l.Length - warmUpTime).Seconds()
			for _, assumed := range []float64{0.8, 1, 1.25} {
				l.AssumedCapacity = assumed
				total, inTime := 0.0, 0.0
				for seed := range uint64(6) {
					result := resultAfterWarmUp(l, seed)
					total += float64(result.InTime+result.Late) / runs / 6
					inTime += float64(result.InTime) / runs / 6
				}
				g := gomega.NewWithT(t)
				t.Logf("assumed capacity %v: %.2f answered, %.2f in time", assumed, total, inTime)
				least := 0.8
				if assumed == 1 {
					least = 0.9
				}
				g.Expect(total).To(gomega.BeNumerically(">", least), "assumed capacity %v", assumed)
				g.Expect(inTime).To(gomega.BeNumerically(">", 0.6), "assumed capacity %v", assumed)
			}
		})
	}
}

// At most one in fifty requests may arrive at a full owner.
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
