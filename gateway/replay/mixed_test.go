package replay_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/replay"
)

// shares are the parts of the requests of a mixed load that were answered.
type shares struct{ urgentInTime, patientServed, allServed float64 }

func sharesOf(r replay.Result) shares {
	served := r.InTime + r.Late
	return shares{
		urgentInTime:  float64(r.UrgentInTime) / float64(r.Urgent),
		patientServed: float64(served-r.UrgentInTime-r.UrgentLate) / float64(r.Asked-r.Urgent),
		allServed:     float64(served) / float64(r.Asked),
	}
}

// Guards against a surge of long, less urgent requests, or the loss of a zone, that delays the more urgent ones, and
// against less urgent ones that are hardly served.
func TestUrgentRequestsAreInTimeInASurgeOfOthers(t *testing.T) {
	for _, row := range []struct {
		scenario string
		least    float64 // of the urgent requests in time
		gain     float64 // ratio of the late ones without guidance to those with it
	}{
		{"mixed-surge", 0.98, 5},
		{"mixed-surge-unchecked", 0.9, 3},
		{"mixed-surge-uneven", 0.85, 4},
		{"mixed-zone-lost", 0.98, 3},
	} {
		t.Run(row.scenario, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			for _, seed := range seeds {
				with := sharesOf(runAs(scenario(t, row.scenario), replay.Pooled, seed))
				without := sharesOf(runAs(scenario(t, row.scenario), replay.NoUrgency, seed))
				t.Logf("seed %d: %+v, without guidance %+v", seed, with, without)
				g.Expect(with.urgentInTime).To(gomega.BeNumerically(">=", row.least), "seed %d", seed)
				g.Expect(1-without.urgentInTime).To(gomega.BeNumerically(">", row.gain*(1-with.urgentInTime)), "seed %d", seed)
				g.Expect(with.patientServed).To(gomega.BeNumerically(">=", 0.25*with.allServed), "seed %d", seed)
			}
		})
	}
}

// Guards against decisions that depend on the order of a map: the same seed must give the same figures.
func TestSameSeedGivesTheSameAdmissions(t *testing.T) {
	l := scenario(t, "mixed-surge-uneven")
	gomega.NewWithT(t).Expect(replay.Run(l, 3)).To(gomega.Equal(replay.Run(l, 3)))
}
