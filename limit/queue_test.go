package limit_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/limit"
)

var epoch = time.Unix(1_000_000, 0)

// queueModel drives a queue with offers, completions, cancellations, sweeps and
// the passage of time, and checks its invariants.
type queueModel struct {
	nestedInRow int // nested requests granted in a row while callers' own wait
	spec        limit.Spec
	queue       *limit.Queue
	now         time.Time
	lastID      uint64
	waiting     map[uint64]limit.Entry
	held        map[uint64]bool
}

func (m *queueModel) apply(t *rapid.T, changes limit.Changes) {
	for _, refused := range changes.Refused {
		if _, waits := m.waiting[refused.ID]; !waits {
			t.Fatalf("request %d was refused but does not wait", refused.ID)
		}
		if refused.Reason == "" || refused.RetryAfter <= 0 {
			t.Fatalf("refusal without reason or retry delay: %+v", refused)
		}
		delete(m.waiting, refused.ID)
	}
	for _, id := range changes.Granted {
		if _, waits := m.waiting[id]; !waits {
			t.Fatalf("request %d was granted a slot but does not wait", id)
		}
		m.checkOrder(t, id)
		delete(m.waiting, id)
		m.held[id] = true
	}
	if len(m.held) > m.spec.Limit {
		t.Fatalf("%d in flight with a limit of %d", len(m.held), m.spec.Limit)
	}
	if m.queue.InFlight() != len(m.held) || m.queue.Queued() != len(m.waiting) {
		t.Fatalf("queue reports %d in flight and %d queued, want %d and %d", m.queue.InFlight(), m.queue.Queued(), len(m.held), len(m.waiting))
	}
	if len(m.waiting) > m.spec.MaxQueued {
		t.Fatalf("%d requests wait with a limit of %d", len(m.waiting), m.spec.MaxQueued)
	}
}

// maxNestedRun is how many nested requests may be granted in a row while callers'
// own requests wait.
const maxNestedRun = 3

// checkOrder checks that no request of the same caller and kind with an earlier
// deadline still waits, and that at most maxNestedRun nested requests in a row
// are granted before callers' own requests.
func (m *queueModel) checkOrder(t *rapid.T, id uint64) {
	granted := m.waiting[id]
	ownWaits := false
	for _, other := range m.waiting {
		nested := other.Hop > 0
		ownWaits = ownWaits || !nested
		if other.Caller == granted.Caller && nested == (granted.Hop > 0) && other.Deadline.Before(granted.Deadline) {
			t.Fatalf("request with deadline %v was granted before one with deadline %v", granted.Deadline.Sub(epoch), other.Deadline.Sub(epoch))
		}
	}
	if granted.Hop == 0 || !ownWaits {
		m.nestedInRow = 0
		return
	}
	m.nestedInRow++
	if m.nestedInRow > maxNestedRun {
		t.Fatalf("%d nested requests in a row while callers' own wait", m.nestedInRow)
	}
}

func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{now: epoch, waiting: map[uint64]limit.Entry{}, held: map[uint64]bool{}}
		m.spec = limit.Spec{
			Limit:     rapid.IntRange(1, 6).Draw(t, "limit"),
			MaxQueued: rapid.IntRange(0, 10).Draw(t, "queue"),
			Ramp:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "ramp")) * time.Millisecond,
		}
		m.queue = limit.NewQueue(m.spec, m.now)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if m.queue.Window(m.now) < 1 || m.queue.Window(m.now) > m.spec.Limit {
					t.Fatalf("window %d is not between 1 and the limit", m.queue.Window(m.now))
				}
			},
			"offer": func(t *rapid.T) {
				m.lastID++
				entry := limit.Entry{
					ID:       m.lastID,
					Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond),
					Hop:      rapid.IntRange(0, 1).Draw(t, "hop"),
				}
				m.waiting[entry.ID] = entry
				m.apply(t, m.queue.Offer(m.now, entry, rapid.IntRange(0, 9).Draw(t, "full") == 0))
			},
			"finish": func(t *rapid.T) {
				if len(m.held) == 0 {
					return
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.held))).Draw(t, "id")
				delete(m.held, id)
				result := limit.Result{Served: true, Overloaded: rapid.Bool().Draw(t, "overloaded")}
				m.apply(t, m.queue.Finish(m.now, id, result))
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					return
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.waiting))).Draw(t, "id")
				entry := m.waiting[id]
				delete(m.waiting, id)
				if !m.queue.Cancel(entry) {
					t.Fatalf("request %d does not wait", id)
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, m.queue.Sweep(m.now))
			},
		})
	})
}

// warmQueue returns a queue of a warm server with an observed busy time of 10 ms.
func warmQueue(spec limit.Spec) *limit.Queue {
	q := limit.NewQueue(spec, epoch.Add(-time.Hour))
	for i := range uint64(8) {
		at := epoch.Add(-time.Minute)
		q.Offer(at, limit.Entry{ID: 1_000_000 + i, Deadline: at.Add(time.Hour)}, false)
		q.Finish(at.Add(10*time.Millisecond), 1_000_000+i, limit.Result{Served: true})
	}
	return q
}

func entry(id uint64, caller string, in time.Duration) limit.Entry {
	return limit.Entry{ID: id, Caller: caller, Deadline: epoch.Add(in)}
}

func TestRequestsThatWouldMissTheirDeadlineAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 100})
	for id := range uint64(6) {
		g.Expect(q.Offer(epoch, entry(id, "a", time.Second), false).Refused).To(gomega.BeEmpty())
	}
	late := q.Offer(epoch, entry(10, "a", 20*time.Millisecond), false)
	g.Expect(late.Refused).To(gomega.BeEmpty(), "a request with an earlier deadline goes first and is served in time")
	tooLate := q.Offer(epoch, entry(11, "a", 3*time.Millisecond), false)
	g.Expect(tooLate.Refused).To(gomega.HaveLen(1))
	g.Expect(tooLate.Refused[0].Reason).To(gomega.Equal(callerapi.ReasonTooLate))
}

// TestStalledServerShedsBeforeDeadlines checks that the queue refuses requests
// well before their deadlines when the server stops responding.
func TestStalledServerShedsBeforeDeadlines(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 100})
	q.Offer(epoch, entry(1, "a", time.Minute), false)
	q.Offer(epoch, entry(2, "a", 300*time.Millisecond), false)
	g.Expect(q.Sweep(epoch.Add(20 * time.Millisecond)).Refused).To(gomega.BeEmpty())
	swept := q.Sweep(epoch.Add(160 * time.Millisecond))
	g.Expect(swept.Refused).To(gomega.HaveLen(1))
	g.Expect(swept.Refused[0].RetryAfter).To(gomega.BeNumerically(">=", 160*time.Millisecond))
}

// TestOneCallerCannotStarveOthers checks that of two callers whose requests wait,
// one with a higher busy time per request, each gets half of the server time.
func TestOneCallerCannotStarveOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 1000})
	now := epoch
	id := uint64(0)
	busy := map[string]time.Duration{"greedy": 30 * time.Millisecond, "modest": 10 * time.Millisecond}
	caller := map[uint64]string{}
	offer := func(who string) {
		id++
		caller[id] = who
		changes := q.Offer(now, limit.Entry{ID: id, Caller: who, Deadline: now.Add(time.Hour)}, false)
		g.Expect(changes.Refused).To(gomega.BeEmpty())
	}
	for range 400 {
		offer("greedy")
	}
	for range 400 {
		offer("modest")
	}
	used := map[string]time.Duration{}
	running := uint64(1)
	for range 200 {
		who := caller[running]
		now = now.Add(busy[who])
		used[who] += busy[who]
		changes := q.Finish(now, running, limit.Result{Served: true})
		g.Expect(changes.Granted).To(gomega.HaveLen(1))
		running = changes.Granted[0]
	}
	share := float64(used["modest"]) / float64(used["modest"]+used["greedy"])
	g.Expect(share).To(gomega.BeNumerically("~", 0.5, 0.08))
}

func TestFullQueueEvictsFromTheLongestShare(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 4})
	q.Offer(epoch, entry(1, "greedy", time.Hour), false)
	for id := uint64(2); id <= 5; id++ {
		q.Offer(epoch, entry(id, "greedy", time.Hour+time.Duration(id)), false)
	}
	changes := q.Offer(epoch, entry(6, "modest", time.Hour), false)
	g.Expect(changes.Refused).To(gomega.HaveLen(1))
	g.Expect(changes.Refused[0].ID).To(gomega.Equal(uint64(5)), "the latest deadline of the greedy caller")
	g.Expect(changes.Refused[0].Reason).To(gomega.Equal(callerapi.ReasonQueueFull))
	changes = q.Offer(epoch, entry(7, "greedy", 2*time.Hour), false)
	g.Expect(changes.Refused).To(gomega.HaveLen(1))
	g.Expect(changes.Refused[0].ID).To(gomega.Equal(uint64(7)))
	changes = q.Offer(epoch, entry(8, "greedy", time.Minute), false)
	g.Expect(changes.Refused).To(gomega.HaveLen(1), "an earlier deadline replaces a later one of the same caller")
	g.Expect(changes.Refused[0].ID).To(gomega.Equal(uint64(4)))
}

func TestWindowOfAColdServerGrowsOverTheRamp(t *testing.T) {
	g := gomega.NewWithT(t)
	q := limit.NewQueue(limit.Spec{Limit: 4, MaxQueued: 100, Ramp: 900 * time.Millisecond}, epoch)
	for id := range uint64(10) {
		q.Offer(epoch, entry(id, "a", time.Hour), false)
	}
	for ms, want := range map[int]int{0: 1, 299: 1, 300: 2, 600: 3, 900: 4, 5000: 4} {
		g.Expect(q.Window(epoch.Add(time.Duration(ms)*time.Millisecond))).To(gomega.Equal(want), fmt.Sprint(ms))
	}
	g.Expect(q.InFlight()).To(gomega.Equal(1))
	q.Sweep(epoch.Add(600 * time.Millisecond))
	g.Expect(q.InFlight()).To(gomega.Equal(3))
}

// TestForecastIncludesTheRampOfAColdServer guards against refusing requests that a
// cold server can serve once it is warm: 50 requests of 10 ms take 500 ms one at a
// time, but the server is warm after 100 ms.
func TestForecastIncludesTheRampOfAColdServer(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 5, MaxQueued: 100, Ramp: 100 * time.Millisecond})
	q.RestartRamp(epoch)
	for id := range uint64(50) {
		changes := q.Offer(epoch, entry(id, "a", 300*time.Millisecond), false)
		g.Expect(changes.Refused).To(gomega.BeEmpty(), "request %d", id)
	}
	g.Expect(q.Offer(epoch, entry(50, "a", 150*time.Millisecond-time.Millisecond), false).Refused).To(gomega.BeEmpty())
	late := 0
	for id := uint64(60); id < 160; id++ {
		late += len(q.Offer(epoch, entry(id, "a", 301*time.Millisecond), false).Refused)
	}
	g.Expect(late).To(gomega.BeNumerically(">", 20), "requests beyond what the warm server can serve are refused")
}

func TestOverloadReducesTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 6, MaxQueued: 100})
	for id := range uint64(6) {
		q.Offer(epoch, entry(id, "a", time.Hour), false)
	}
	q.Finish(epoch, 0, limit.Result{Overloaded: true})
	g.Expect(q.Window(epoch)).To(gomega.Equal(4))
	for id := uint64(1); id < 6; id++ {
		q.Finish(epoch, id, limit.Result{Served: true})
	}
	for id := uint64(10); id < 40; id++ {
		q.Offer(epoch, entry(id, "a", time.Hour), false)
		q.Finish(epoch.Add(10*time.Millisecond), id, limit.Result{Served: true})
	}
	g.Expect(q.Window(epoch)).To(gomega.Equal(6), "the window recovers with served requests")
}
