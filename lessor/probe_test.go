package lessor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const probeTimeout = 175 * time.Millisecond // as the module sets it

// watching drives a member that watches, as the module does: it looks at the
// time after WatchPause, and when a probe ends.
type watching struct {
	t     *rapid.T
	m     *Member
	now   time.Duration
	trip  time.Duration           // of a probe that is answered
	lost  time.Duration           // since when lessor and standby lessor are silent
	ends  map[topo.NodeID]probing // under way
	asked map[topo.NodeID]int
}

type probing struct {
	at     time.Duration
	failed bool
}

func newWatching(t *rapid.T, place int) *watching {
	facts := &Facts{Group: state.Group{
		ID: "z0/0", Term: topo.MakeTerm(1, 0), Lessor: "lessor", LessorBoot: restBoot, Standby: "standby", StandbyBoot: restBoot,
	}}
	for _, id := range []topo.NodeID{"lessor", "standby", "a", "b"} {
		facts.Nodes = append(facts.Nodes, state.Node{ID: id, Boot: restBoot, Zone: "z0"})
	}
	for _, id := range []topo.NodeID{"a", "b"} {
		m := NewMember(restConfig(id, "z0"))
		m.Observe(0, 0, true, facts)
		if m.place == place {
			return &watching{t: t, m: m, ends: map[topo.NodeID]probing{}, asked: map[topo.NodeID]int{}}
		}
	}
	t.Fatalf("no node has place %d", place)
	return nil
}

// step looks once and passes the time until the next look. It returns whether a
// claim was due.
func (w *watching) step() bool {
	w.m.Observe(w.now, w.now, true, w.m.facts)
	for _, action := range w.m.Plan(w.now) {
		switch a := action.(type) {
		case ClaimTerm:
			return true
		case Probe:
			w.begin(a.Node)
		}
	}
	pause, watches := w.m.WatchPause(w.now)
	if !watches {
		w.t.Fatal("the member watches no longer")
	}
	next := w.now + pause
	for _, end := range w.ends {
		next = min(next, end.at)
	}
	w.now = next
	w.end()
	return false
}

func (w *watching) begin(id topo.NodeID) {
	w.m.BeginProbe(w.now, id)
	w.asked[id]++
	if w.now+w.trip >= w.lost {
		w.ends[id] = probing{at: w.now + probeTimeout, failed: true}
		return
	}
	w.ends[id] = probing{at: w.now + w.trip}
}

func (w *watching) end() {
	for id, end := range w.ends {
		switch {
		case end.at > w.now:
			continue
		case end.failed:
			w.m.ProbeFailed(id)
		default:
			w.m.ProbeAnswered(w.now, Run{Node: id, Boot: restBoot})
		}
		delete(w.ends, id)
	}
}

// TestWatchersClaimInTimeAndInTurn loses lessor and standby lessor at any
// moment between two probes. The first watcher claims as soon as it did when it
// asked both of them each heartbeat interval; the next waits its turn.
func TestWatchersClaimInTimeAndInTurn(t *testing.T) {
	for place, bounds := range []struct{ from, to time.Duration }{
		// A heartbeat interval and two probes in vain.
		{from: 250 * time.Millisecond, to: 100*time.Millisecond + 2*probeTimeout},
		// Suspicion and its turn, since a heartbeat interval before it asked.
		{from: 750 * time.Millisecond, to: 1000 * time.Millisecond},
	} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWatching(t, place)
			w.trip = time.Duration(rapid.IntRange(0, 5000).Draw(t, "trip")) * time.Microsecond
			w.lost = 2*time.Second + time.Duration(rapid.IntRange(0, 500_000).Draw(t, "lost"))*time.Microsecond
			for !w.step() {
				if w.now > w.lost+5*time.Second {
					t.Fatal("never claimed")
				}
			}
			after := w.now - w.lost
			slack := w.trip + leastPause
			if after < bounds.from-slack || after > bounds.to+slack {
				t.Fatalf("place %d claimed %v after the loss, not within %v to %v", place, after, bounds.from, bounds.to)
			}
		})
	}
}

// TestAWatcherAsksTheStandbyLessorOnlyInDoubt counts the probes of a healthy
// pair.
func TestAWatcherAsksTheStandbyLessorOnlyInDoubt(t *testing.T) {
	for place, most := range []int{14, 5} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWatching(t, place)
			w.trip = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "trip")) * time.Microsecond
			w.lost = time.Hour
			for w.now < 10*time.Second {
				if w.step() {
					t.Fatal("claimed")
				}
			}
			if w.asked["standby"] > 0 || w.asked["lessor"] > 10*most {
				t.Fatalf("place %d asked the lessor %d times and the standby lessor %d times in 10 s", place, w.asked["lessor"], w.asked["standby"])
			}
		})
	}
}
