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

func ringOf(n int) membership.NodeRing {
	nodes := map[topo.NodeID]state.Node{}
	for i := range n {
		id := topo.NodeID(fmt.Sprintf("n%d", i))
		nodes[id] = state.Node{ID: id}
	}
	return membership.NewNodeRing(nodes)
}

func noNode(topo.NodeID) bool { return false }

func TestEachNodeIsWatchedByItsWatchers(t *testing.T) {
	g := gomega.NewWithT(t)
	ring := ringOf(40)
	for _, id := range ring.Candidates(membership.RoleServers) {
		watchers := ring.Watchers(id)
		g.Expect(watchers).To(gomega.HaveLen(3))
		for _, watcher := range watchers {
			g.Expect(ring.Watched(watcher, noNode)).To(gomega.ContainElement(id))
		}
	}
}

func TestWatchingOnSmallRings(t *testing.T) {
	g := gomega.NewWithT(t)
	for n := range 4 {
		ring := ringOf(n)
		for _, id := range ring.Candidates(membership.RoleServers) {
			g.Expect(ring.Watched(id, noNode)).To(gomega.HaveLen(n - 1))
		}
	}
	g.Expect(ringOf(0).Holder(membership.RolePlanner, noNode)).To(gomega.BeEmpty())
	g.Expect(ringOf(3).Watched("stranger", noNode)).To(gomega.BeEmpty())
}

// TestOneNodeHoldsARoleWhicheverNodesAreLost loses an arbitrary set of nodes. Each live node
// knows only whether the nodes that it watches are lost. Because it extends that set
// until it contains a live node, exactly one node holds the role.
func TestOneNodeHoldsARoleWhicheverNodesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := ringOf(rapid.IntRange(1, 60).Draw(t, "nodes"))
		lost := map[topo.NodeID]bool{}
		for _, id := range ring.Candidates(membership.RolePlanner) {
			lost[id] = rapid.IntRange(0, 9).Draw(t, "lost") < 6
		}
		var holders []topo.NodeID
		alive := 0
		for _, id := range ring.Candidates(membership.RolePlanner) {
			if lost[id] {
				continue
			}
			alive++
			watched := ring.Watched(id, func(other topo.NodeID) bool { return lost[other] })
			unable := func(other topo.NodeID) bool { return lost[other] && slices.Contains(watched, other) }
			if ring.Holder(membership.RolePlanner, unable) == id {
				holders = append(holders, id)
			}
		}
		if alive > 0 && len(holders) != 1 {
			t.Fatalf("%d nodes live, holders are %v", alive, holders)
		}
	})
}

func TestUnresponsiveNeedsSeveralFailedCallsAndTime(t *testing.T) {
	g := gomega.NewWithT(t)
	live := membership.NewLiveness()
	live.Answered("n", membership.Answer{Boot: "1"}, start)
	at := start
	for range membership.UnresponsiveCalls - 1 {
		at = at.Add(time.Hour) // this node itself was paused
		live.Failed("n", at)
		g.Expect(live.Unresponsive("n", at)).To(gomega.BeFalse())
	}
	live.Failed("n", at)
	g.Expect(live.Unresponsive("n", at)).To(gomega.BeTrue())
	live.Answered("n", membership.Answer{Boot: "1"}, at)
	g.Expect(live.Unresponsive("n", at.Add(time.Hour))).To(gomega.BeFalse())

	for range membership.UnresponsiveCalls {
		live.Failed("quick", start)
	}
	g.Expect(live.Unresponsive("quick", start.Add(membership.UnresponsiveAfter-1))).To(gomega.BeFalse())
	g.Expect(live.Unresponsive("quick", start.Add(membership.UnresponsiveAfter))).To(gomega.BeTrue())
	live.Keep([]topo.NodeID{"n"})
	g.Expect(live.AllUnresponsive(start.Add(time.Hour))).To(gomega.BeEmpty())
}

func TestADrainingNodeIsUnableButNotUnresponsive(t *testing.T) {
	g := gomega.NewWithT(t)
	live := membership.NewLiveness()
	live.Answered("n", membership.Answer{Draining: true}, start)
	g.Expect(live.Unable("n", start)).To(gomega.BeTrue())
	g.Expect(live.Unresponsive("n", start)).To(gomega.BeFalse())
}

// TestRemovalOfANode covers how the VM list and the other watchers decide the
// removal of a node that this node finds unresponsive.
func TestRemovalOfANode(t *testing.T) {
	agree, dissent, mute := "agrees", "gets answers", "does not answer"
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
		{"gone, but it answers one watcher", 11 * time.Second, gone, [2]string{agree, dissent}, false, false},
		{"gone, but no other watcher answers: this node may be cut off", 11 * time.Second, gone, [2]string{mute, mute}, false, false},
		{"gone, not unresponsive for long enough", 9 * time.Second, gone, [2]string{agree, agree}, false, false},
		{"leaving and unresponsive", 11 * time.Second, leaving, [2]string{agree, agree}, true, false},
		{"missing and unresponsive", 11 * time.Second, missing, [2]string{agree, agree}, true, false},
		{"missing, but it answers other watchers", 11 * time.Second, missing, [2]string{dissent, dissent}, false, false},
		{"list lags: live", 11 * time.Second, live, [2]string{agree, agree}, false, false},
		{"live in the list, unresponsive for very long", 11 * time.Minute, live, [2]string{agree, agree}, true, false},
		{"live in the list, unresponsive to this node only", 11 * time.Minute, live, [2]string{dissent, agree}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			site := sitefake.New()
			site.Publish()
			for _, id := range []string{"s1", "self", "w1", "w2"} {
				site.Join(id, "zone-a")
			}
			ring := membership.NewNodeRing(site.View().Nodes())
			known := membership.NewLiveness()
			for range membership.UnresponsiveCalls {
				known.Failed("s1", start.Add(-c.silent))
			}
			for i, id := range []topo.NodeID{"w1", "w2"} {
				switch c.others[i] {
				case agree:
					known.Answered(id, membership.Answer{Unresponsive: []topo.NodeID{"s1"}}, start)
				case dissent:
					known.Answered(id, membership.Answer{}, start)
				case mute:
					known.Answered(id, membership.Answer{Unresponsive: []topo.NodeID{"s1"}}, start.Add(-time.Minute))
					known.Failed(id, start)
				}
			}
			r := membership.NewRoster()
			r.ObserveState(site.View(), start.Add(-time.Hour))
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
			changes := membership.DecideNodes(site.View(), ring, known, observed("self", r, nil))
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
	for range membership.UnresponsiveCalls {
		known.Failed("s1", start.Add(-time.Minute))
	}
	changes := membership.DecideNodes(site.View(), membership.NewNodeRing(site.View().Nodes()), known,
		observed("self", roster(gone, time.Hour, start), nil))
	g.Expect(changes.Remove).To(gomega.HaveLen(1))
	g.Expect(changes.Remove[0].Boot).To(gomega.Equal("1"))
}
