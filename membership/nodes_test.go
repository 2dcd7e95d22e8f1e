package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

func circleOf(n int) membership.Circle {
	nodes := map[topo.NodeID]state.Node{}
	for i := range n {
		id := topo.NodeID(fmt.Sprintf("n%d", i))
		nodes[id] = state.Node{ID: id}
	}
	return membership.NewCircle(nodes)
}

func nobody(topo.NodeID) bool { return false }

func TestEachNodeIsWatchedByThoseThatItsWatchersName(t *testing.T) {
	g := gomega.NewWithT(t)
	circle := circleOf(40)
	for _, id := range circle.Candidates(membership.RoleServers) {
		watchers := circle.Watchers(id)
		g.Expect(watchers).To(gomega.HaveLen(3))
		for _, watcher := range watchers {
			g.Expect(circle.Watched(watcher, nobody)).To(gomega.ContainElement(id))
		}
	}
}

func TestWatchingSmallCircles(t *testing.T) {
	g := gomega.NewWithT(t)
	for n := range 4 {
		circle := circleOf(n)
		for _, id := range circle.Candidates(membership.RoleServers) {
			g.Expect(circle.Watched(id, nobody)).To(gomega.HaveLen(n - 1))
		}
	}
	g.Expect(circleOf(0).Holder(membership.RolePlanner, nobody)).To(gomega.BeEmpty())
	g.Expect(circleOf(3).Watched("stranger", nobody)).To(gomega.BeEmpty())
}

// TestARoleIsHeldWhateverIsLost lets any set of nodes be lost. Each live node
// knows of those that it watches only; widened until it sees a live one, that
// is enough for exactly one to hold the role.
func TestARoleIsHeldWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		circle := circleOf(rapid.IntRange(1, 60).Draw(t, "nodes"))
		lost := map[topo.NodeID]bool{}
		for _, id := range circle.Candidates(membership.RolePlanner) {
			lost[id] = rapid.IntRange(0, 9).Draw(t, "lost") < 6
		}
		var holders []topo.NodeID
		alive := 0
		for _, id := range circle.Candidates(membership.RolePlanner) {
			if lost[id] {
				continue
			}
			alive++
			watched := circle.Watched(id, func(other topo.NodeID) bool { return lost[other] })
			unable := func(other topo.NodeID) bool { return lost[other] && slices.Contains(watched, other) }
			if circle.Holder(membership.RolePlanner, unable) == id {
				holders = append(holders, id)
			}
		}
		if alive > 0 && len(holders) != 1 {
			t.Fatalf("%d nodes live, holders are %v", alive, holders)
		}
	})
}

func TestSilenceNeedsSeveralFailedCallsAndTime(t *testing.T) {
	g := gomega.NewWithT(t)
	live := membership.NewLiveness()
	live.Answered("n", membership.Answer{Boot: "1"}, start)
	at := start
	for range membership.SilentCalls - 1 {
		at = at.Add(time.Hour) // this node was paused itself
		live.Failed("n", at)
		g.Expect(live.Silent("n", at)).To(gomega.BeFalse())
	}
	live.Failed("n", at)
	g.Expect(live.Silent("n", at)).To(gomega.BeTrue())
	live.Answered("n", membership.Answer{Boot: "1"}, at)
	g.Expect(live.Silent("n", at.Add(time.Hour))).To(gomega.BeFalse())

	for range membership.SilentCalls {
		live.Failed("quick", start)
	}
	g.Expect(live.Silent("quick", start.Add(membership.SilentAfter-1))).To(gomega.BeFalse())
	g.Expect(live.Silent("quick", start.Add(membership.SilentAfter))).To(gomega.BeTrue())
	live.Keep([]topo.NodeID{"n"})
	g.Expect(live.AllSilent(start.Add(time.Hour))).To(gomega.BeEmpty())
}

func TestADrainingNodeIsPassedByButNotSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	live := membership.NewLiveness()
	live.Answered("n", membership.Answer{Draining: true}, start)
	g.Expect(live.Unable("n", start)).To(gomega.BeTrue())
	g.Expect(live.Silent("n", start)).To(gomega.BeFalse())
}

// TestRemovalOfANode is the table of what the list and the other watchers do to
// a node that this one finds silent.
func TestRemovalOfANode(t *testing.T) {
	agree, dissent, mute := "agrees", "hears it", "does not answer"
	cases := []struct {
		name    string
		silent  time.Duration
		list    listed
		others  [2]string
		removed bool
		lost    bool
	}{
		{"gone, all agree", 11 * time.Second, gone, [2]string{agree, agree}, true, true},
		{"gone, one other answers", 11 * time.Second, gone, [2]string{agree, mute}, true, true},
		{"gone, but one hears it", 11 * time.Second, gone, [2]string{agree, dissent}, false, false},
		{"gone, but nobody else answers: this node may be cut off", 11 * time.Second, gone, [2]string{mute, mute}, false, false},
		{"gone, not silent for long enough", 9 * time.Second, gone, [2]string{agree, agree}, false, false},
		{"leaving and silent", 11 * time.Second, leaving, [2]string{agree, agree}, true, false},
		{"missing and silent", 11 * time.Second, missing, [2]string{agree, agree}, true, false},
		{"missing but it answers others", 11 * time.Second, missing, [2]string{dissent, dissent}, false, false},
		{"list behind: live", 11 * time.Second, live, [2]string{agree, agree}, false, false},
		{"live in the list, silent for very long", 11 * time.Minute, live, [2]string{agree, agree}, true, false},
		{"live in the list, silent here only", 11 * time.Minute, live, [2]string{dissent, agree}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			site := sitefake.New()
			site.Publish()
			for _, id := range []string{"s1", "self", "w1", "w2"} {
				site.Join(id, "zone-a")
			}
			circle := membership.NewCircle(site.View().Nodes())
			known := membership.NewLiveness()
			for range membership.SilentCalls {
				known.Failed("s1", start.Add(-c.silent))
			}
			for i, id := range []topo.NodeID{"w1", "w2"} {
				switch c.others[i] {
				case agree:
					known.Answered(id, membership.Answer{Silent: []topo.NodeID{"s1"}}, start)
				case dissent:
					known.Answered(id, membership.Answer{}, start)
				case mute:
					known.Answered(id, membership.Answer{Silent: []topo.NodeID{"s1"}}, start.Add(-time.Minute))
					known.Failed(id, start)
				}
			}
			r := membership.NewRoster()
			r.Notice(site.View(), start.Add(-time.Hour))
			for i := range 20 {
				var vms []vmlist.VM
				if c.list != missing || i == 0 {
					phase := vmlist.Phase(c.list)
					if c.list == missing {
						phase = vmlist.PhaseLive
					}
					vms = []vmlist.VM{{ID: "s1", Role: vmlist.RoleEntry, Zone: "zone-a", Phase: phase}}
				}
				r.Update(vms, start.Add(time.Duration(i-20)*time.Second))
			}
			changes := membership.DecideNodes(site.View(), circle, known, observed("self", r, nil))
			g.Expect(len(changes.Remove) > 0).To(gomega.Equal(c.removed))
			g.Expect(len(changes.Lost) > 0).To(gomega.Equal(c.lost))
		})
	}
}

func TestTheOnlyOtherNodeRemovesByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	site := sitefake.New()
	site.Publish()
	site.Join("s1", "zone-a")
	site.Join("self", "zone-a")
	known := membership.NewLiveness()
	for range membership.SilentCalls {
		known.Failed("s1", start.Add(-time.Minute))
	}
	changes := membership.DecideNodes(site.View(), membership.NewCircle(site.View().Nodes()), known,
		observed("self", roster(gone, time.Hour, start), nil))
	g.Expect(changes.Remove).To(gomega.HaveLen(1))
	g.Expect(changes.Remove[0].Boot).To(gomega.Equal("1"))
}
