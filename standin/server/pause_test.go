package server

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
)

// maxClockReadings is above the number of clock readings of one request.
const maxClockReadings = 30

// TestPauseAfterAnyClockReading pauses the server past its lease after
// the first, the second, ... reading of its clock while it serves a request. Its
// answer must be true in each case: it answers only if it still owned the shard
// at the last check, it reports "not run" only if nothing was changed, and the
// ticket never runs again.
func TestPauseAfterAnyClockReading(t *testing.T) {
	outcomes := map[outcome]int{}
	changedUnknown := 0
	for readings := range maxClockReadings {
		t.Run(strconv.Itoa(readings), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, Config{})
			s.grant(granted(fence))
			s.advance(ms)
			s.pauseAfter, s.pause = readings, leaseTTL
			o := serveOptions{ticket: newTicket(1, fence)}
			first := outcomeOf(s.send(o))
			outcomes[first]++
			changed := s.changes()
			switch first {
			case answered:
				g.Expect(changed).To(gomega.Equal(1))
				g.Expect(commitsWithinOwnership(s)).To(gomega.BeTrue(), "answered after its lease")
			case notOwner:
				g.Expect(changed).To(gomega.BeZero())
			case lost:
				changedUnknown += changed
			default:
				t.Fatalf("answered %+v", first)
			}
			s.pause = 0
			s.grant(granted(fence))
			s.send(o)
			if first != notOwner {
				g.Expect(s.changes()).To(gomega.Equal(changed), "ran again")
			}
		})
	}
	g := gomega.NewWithT(t)
	g.Expect(outcomes).To(gomega.HaveLen(3), "%v", outcomes)
	g.Expect(changedUnknown).To(gomega.BeNumerically(">", 0), "some pause falls between check and use")
}

// changes returns the number of changes of the key.
func (s *testServer) changes() int {
	inc := s.current()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if state, exists := inc.shards[shard]; exists {
		return int(state.values["bore 7"])
	}
	return 0
}

// commitsWithinOwnership reports whether every committed run ended in an owner interval.
func commitsWithinOwnership(s *testServer) bool {
	s.pause = 0
	s.advance(ms)
	s.FlushHistory()
	events := s.recorded.Events()
	intervals := history.Select[history.OwnerInterval](events)
	for _, ended := range history.Select[history.RunEnded](events) {
		within := !ended.Committed
		for _, interval := range intervals {
			within = within || (interval.From <= ended.At && ended.At < interval.Until)
		}
		if !within {
			return false
		}
	}
	return true
}

// renewing is a recorder that renews the lease as soon as a run has begun.
type renewing struct {
	*history.Memory
	renew func()
}

// Record implements history.Recorder.
func (r *renewing) Record(event history.Event) {
	r.Memory.Record(event)
	if _, began := event.(history.RunBegan); began {
		r.renew()
	}
}

// TestRunIsRecordedAtTheOwnershipCheck guards against runs that are recorded as of a later
// reading of the clock, outside the lease, and so mistaken for runs without ownership: the
// lease expires after the server's first ownership check, and is renewed under the same fence
// before the next check.
func TestRunIsRecordedAtTheOwnershipCheck(t *testing.T) {
	committed := 0
	for readings := range maxClockReadings {
		t.Run(strconv.Itoa(readings), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, Config{})
			s.config.Recorder = &renewing{Memory: &s.recorded, renew: func() {
				s.advance(ms)
				s.grant(granted(fence))
			}}
			s.grant(granted(fence))
			s.advance(ms)
			s.pauseAfter, s.pause = readings, leaseTTL
			if outcomeOf(s.send(serveOptions{})) == answered {
				committed++
			}
			s.pause = 0
			s.advance(ms)
			s.FlushHistory()
			g.Expect(histcheck.SoleOwner(s.recorded.Events())).To(gomega.BeEmpty())
		})
	}
	gomega.NewWithT(t).Expect(committed).To(gomega.BeNumerically(">", 0))
}
