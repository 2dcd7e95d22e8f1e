package lessor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const probeTimeout = 175 * time.Millisecond // as set by module modules/lessor

// watcherHarness drives a watching member as the module does: it calls Plan after
// WatchPause, and when a probe ends.
type watcherHarness struct {
	t         *rapid.T
	m         *Member
	now       time.Duration
	roundTrip time.Duration                // of a probe that is answered
	lostAt    time.Duration                // time at which lessor and standby lessor become unresponsive
	pending   map[topo.NodeID]pendingProbe // probes in flight
	probes    map[topo.NodeID]int
}

type pendingProbe struct {
	at     time.Duration
	failed bool
}

func newWatcherHarness(t *rapid.T, turn int) *watcherHarness {
	facts := &Facts{Group: state.Group{
		ID: "z0/0", Term: topo.MakeTerm(1, 0), Lessor: "lessor", LessorBoot: testBoot, Standby: "standby", StandbyBoot: testBoot,
	}}
	for _, id := range []topo.NodeID{"lessor", "standby", "a", "b"} {
		facts.Nodes = append(facts.Nodes, state.Node{ID: id, Boot: testBoot, Zone: "z0"})
	}
	for _, id := range []topo.NodeID{"a", "b"} {
		m := NewMember(testConfig(id, "z0"))
		m.Observe(0, 0, true, facts)
		if m.turnIndex == turn {
			return &watcherHarness{t: t, m: m, pending: map[topo.NodeID]pendingProbe{}, probes: map[topo.NodeID]int{}}
		}
	}
	t.Fatalf("no node has turn %d", turn)
	return nil
}

// step calls Plan once and advances the time to the next call. It reports
// whether a claim was due.
func (w *watcherHarness) step() bool {
	w.m.Observe(w.now, w.now, true, w.m.facts)
	for _, action := range w.m.Plan(w.now) {
		switch a := action.(type) {
		case ClaimTerm:
			return true
		case Probe:
			w.beginProbe(a.Node)
		}
	}
	pause, watches := w.m.WatchPause(w.now)
	if !watches {
		w.t.Fatal("the member is no longer a watcher")
	}
	next := w.now + pause
	for _, end := range w.pending {
		next = min(next, end.at)
	}
	w.now = next
	w.finishProbes()
	return false
}

func (w *watcherHarness) beginProbe(id topo.NodeID) {
	w.m.BeginProbe(w.now, id)
	w.probes[id]++
	if w.now+w.roundTrip >= w.lostAt {
		w.pending[id] = pendingProbe{at: w.now + probeTimeout, failed: true}
		return
	}
	w.pending[id] = pendingProbe{at: w.now + w.roundTrip}
}

func (w *watcherHarness) finishProbes() {
	for id, end := range w.pending {
		switch {
		case end.at > w.now:
			continue
		case end.failed:
			w.m.ProbeFailed(id)
		default:
			w.m.ProbeAnswered(w.now, Incarnation{Node: id, Boot: testBoot})
		}
		delete(w.pending, id)
	}
}

// TestWatchersClaimInTurnWithinBounds stops lessor and standby lessor at any
// moment between two probes. The first watcher claims as early as if it probed
// both of them each heartbeat interval; the next one waits for its turn.
func TestWatchersClaimInTurnWithinBounds(t *testing.T) {
	for turn, bounds := range []struct{ from, to time.Duration }{
		// A heartbeat interval and two failed probes.
		{from: 250 * time.Millisecond, to: 100*time.Millisecond + 2*probeTimeout},
		// Suspicion and its turn, measured from one heartbeat interval before
		// the probe.
		{from: 750 * time.Millisecond, to: 1000 * time.Millisecond},
	} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWatcherHarness(t, turn)
			w.roundTrip = time.Duration(rapid.IntRange(0, 5000).Draw(t, "trip")) * time.Microsecond
			w.lostAt = 2*time.Second + time.Duration(rapid.IntRange(0, 500_000).Draw(t, "lost"))*time.Microsecond
			for !w.step() {
				if w.now > w.lostAt+5*time.Second {
					t.Fatal("never claimed")
				}
			}
			after := w.now - w.lostAt
			slack := w.roundTrip + minPause
			if after < bounds.from-slack || after > bounds.to+slack {
				t.Fatalf("watcher %d claimed %v after the loss, not within %v to %v", turn, after, bounds.from, bounds.to)
			}
		})
	}
}

// TestWatcherProbesHealthyLessorOnly counts the probes of a healthy lessor and
// standby lessor.
func TestWatcherProbesHealthyLessorOnly(t *testing.T) {
	for turn, most := range []int{14, 5} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWatcherHarness(t, turn)
			w.roundTrip = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "trip")) * time.Microsecond
			w.lostAt = time.Hour
			for w.now < 10*time.Second {
				if w.step() {
					t.Fatal("claimed")
				}
			}
			if w.probes["standby"] > 0 || w.probes["lessor"] > 10*most {
				t.Fatalf("watcher %d probed the lessor %d times and the standby lessor %d times in 10 s", turn, w.probes["lessor"], w.probes["standby"])
			}
		})
	}
}
