package server

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
)

// mostReadings is above the number of times that one request reads the clock.
const mostReadings = 30

// TestPausedAfterAnyReadingOfTheClock pauses the server past its lease after
// the first, the second, ... reading of its clock while it serves a request.
// Whatever it answers must be true: an answer stands only if the server still
// owned the shard when it said so, "not run" only if nothing was changed, and
// the ticket never runs again.
func TestPausedAfterAnyReadingOfTheClock(t *testing.T) {
	outcomes := map[outcome]int{}
	changedUnknown := 0
	for readings := range mostReadings {
		t.Run(strconv.Itoa(readings), func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBench(t, Config{})
			b.grant(granted(fence))
			b.advance(ms)
			b.pauseAfter, b.pause = readings, leaseTTL
			o := serveOptions{ticket: newTicket(1, fence)}
			first := outcomeOf(b.send(o))
			outcomes[first]++
			changed := b.changes()
			switch first {
			case answered:
				g.Expect(changed).To(gomega.Equal(1))
				g.Expect(endedWithin(b)).To(gomega.BeTrue(), "answered after its lease")
			case notOwner:
				g.Expect(changed).To(gomega.BeZero())
			case lost:
				changedUnknown += changed
			default:
				t.Fatalf("answered %+v", first)
			}
			b.pause = 0
			b.grant(granted(fence))
			b.send(o)
			if first != notOwner {
				g.Expect(b.changes()).To(gomega.Equal(changed), "ran again")
			}
		})
	}
	g := gomega.NewWithT(t)
	g.Expect(outcomes).To(gomega.HaveLen(3), "%v", outcomes)
	g.Expect(changedUnknown).To(gomega.BeNumerically(">", 0), "some pause falls between check and use")
}

// changes returns how often the key was changed.
func (b *bench) changes() int {
	run := b.current()
	run.mu.Lock()
	defer run.mu.Unlock()
	if state, exists := run.shards[shard]; exists {
		return int(state.values["bore 7"])
	}
	return 0
}

// endedWithin reports whether every committed run ended in an owner interval.
func endedWithin(b *bench) bool {
	b.pause = 0
	b.advance(ms)
	b.FlushHistory()
	events := b.recorded.Events()
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

// renewing renews the lease as soon as a run has begun.
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

// TestARunIsRecordedAsOfTheCheck: the lease lapses after the server has found that it
// owns the shard, and is renewed under the same fence before it checks again. Runs were
// recorded as of a later reading of the clock, outside the lease, and taken for runs
// without ownership.
func TestARunIsRecordedAsOfTheCheck(t *testing.T) {
	committed := 0
	for readings := range mostReadings {
		t.Run(strconv.Itoa(readings), func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBench(t, Config{})
			b.config.Recorder = &renewing{Memory: &b.recorded, renew: func() {
				b.advance(ms)
				b.grant(granted(fence))
			}}
			b.grant(granted(fence))
			b.advance(ms)
			b.pauseAfter, b.pause = readings, leaseTTL
			if outcomeOf(b.send(serveOptions{})) == answered {
				committed++
			}
			b.pause = 0
			b.advance(ms)
			b.FlushHistory()
			g.Expect(histcheck.SoleOwner(b.recorded.Events())).To(gomega.BeEmpty())
		})
	}
	gomega.NewWithT(t).Expect(committed).To(gomega.BeNumerically(">", 0))
}
