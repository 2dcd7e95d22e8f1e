package membership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/dutytest"
	core "github.com/burdockspindle/burdockspindle/membership"
	_ "github.com/burdockspindle/burdockspindle/modules/membership"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// site is a cluster of six nodes in three zones with a fake clock.
type site struct {
	*dutytest.Cluster
	t     *testing.T
	g     *gomega.WithT
	nodes []*dutytest.Node
}

// run runs a test on a site whose nodes have joined.
func run(t *testing.T, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{Cluster: dutytest.New(t, "duty.membership"), t: t, g: gomega.NewWithT(t)}
		defer s.Close()
		s.Site.Publish(sitefake.Keyed("logs", 4))
		for i := range 6 {
			zone := "zone-" + string(rune('a'+i%3))
			s.nodes = append(s.nodes, s.Start(fmt.Sprintf("node-%d", i), zone, "1"))
		}
		s.pass(5 * time.Second)
		s.g.Expect(s.Site.View().Nodes()).To(gomega.HaveLen(6))
		test(s)
	})
}

// pass advances the fake clock.
func (s *site) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (s *site) member(id topo.NodeID) bool {
	_, exists := s.Site.View().Node(id)
	return exists
}

func (s *site) phase(server topo.ServerID) state.Phase {
	known, _ := s.Site.View().Server(server)
	return known.Phase
}

func (s *site) holders(role core.Role) []*dutytest.Node {
	var holders []*dutytest.Node
	for _, n := range s.nodes {
		if dutytest.Use[core.Roles](n).Holds(role) {
			holders = append(holders, n)
		}
	}
	return holders
}

// server adds a live server to the VM list.
func (s *site) server(id, zone string) {
	s.VMs.Put(vmlist.VM{
		ID: id, Role: vmlist.RoleServer, Service: "logs", Zone: topo.Zone(zone), Address: "127.0.0.1:9",
		Phase: vmlist.PhaseLive,
	})
}

// records counts the records written while a function runs.
func (s *site) records(during func()) int {
	before := len(s.Site.Records())
	during()
	return len(s.Site.Records()) - before
}

func TestNodesJoinAndLeave(t *testing.T) {
	run(t, func(s *site) {
		s.g.Expect(s.records(func() { s.pass(time.Minute) })).To(gomega.BeZero(), "an idle site writes nothing")
		s.nodes[2].Stop()
		s.g.Expect(s.member("node-2")).To(gomega.BeFalse())
		s.Start("node-2", "zone-c", "2")
		s.pass(2 * time.Second)
		node, _ := s.Site.View().Node("node-2")
		s.g.Expect(node.Boot).To(gomega.BeEquivalentTo("2"))
	})
}

// TestARestartedNodeJoinsUnderItsNewBoot kills and restarts a node whose earlier
// incarnation is still a member.
func TestARestartedNodeJoinsUnderItsNewBoot(t *testing.T) {
	run(t, func(s *site) {
		s.nodes[2].Kill()
		s.Start("node-2", "zone-c", "2")
		s.pass(2 * time.Second)
		node, _ := s.Site.View().Node("node-2")
		s.g.Expect(node.Boot).To(gomega.BeEquivalentTo("2"))
	})
}

func TestANodeRemovedByMistakeJoinsAgain(t *testing.T) {
	run(t, func(s *site) {
		node, _ := s.Site.View().Node("node-1")
		s.Site.Apply("operator@1", removeNode(node))
		s.g.Expect(s.member("node-1")).To(gomega.BeFalse())
		s.pass(2 * time.Second)
		s.g.Expect(s.member("node-1")).To(gomega.BeTrue())
	})
}

func TestANodeThatStartsWhileTheLogIsDownJoinsLater(t *testing.T) {
	run(t, func(s *site) {
		s.Site.SetDown(true)
		s.Start("late", "zone-a", "1")
		s.pass(time.Minute)
		s.g.Expect(s.member("late")).To(gomega.BeFalse())
		s.Site.SetDown(false)
		s.pass(15 * time.Second)
		s.g.Expect(s.member("late")).To(gomega.BeTrue())
	})
}

func TestOneNodeHoldsEachRoleAndAnotherTakesOver(t *testing.T) {
	for _, how := range []string{"killed", "stopped", "draining", "cut off", "paused"} {
		t.Run(how, func(t *testing.T) {
			run(t, func(s *site) {
				holders := s.holders(core.RoleServers)
				s.g.Expect(holders).To(gomega.HaveLen(1))
				was := holders[0]
				switch how {
				case "killed":
					was.Kill()
				case "stopped":
					was.Stop()
				case "draining":
					was.Drain()
					s.g.Expect(dutytest.Use[core.Roles](was).Holds(core.RoleServers)).To(gomega.BeFalse())
				case "cut off":
					s.Network.Isolate(was.ID)
				case "paused":
					s.Network.Pause(was.ID)
				}
				s.pass(6 * time.Second)
				var now []topo.NodeID
				for _, n := range s.holders(core.RoleServers) {
					if n != was {
						now = append(now, n.ID)
					}
				}
				s.g.Expect(now).To(gomega.HaveLen(1))
				s.server("s1", "zone-a")
				s.pass(2 * time.Second)
				s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseLive), "the role is performed again")
			})
		})
	}
}

func TestServersFollowALaggingList(t *testing.T) {
	run(t, func(s *site) {
		s.VMs.SetFaults(vms.Faults{ShowLag: 5 * time.Second, HideLag: 20 * time.Second})
		s.server("s1", "zone-a")
		s.pass(4 * time.Second)
		s.g.Expect(s.phase("s1")).To(gomega.BeZero())
		s.pass(3 * time.Second)
		s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseLive))

		// The server reports that it is draining long before the list shows it.
		s.Site.Lessor("zone-a", "node-0")
		s.reportAnswer(true)
		s.pass(time.Second)
		s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseDraining))
		s.VMs.SetPhase("s1", vmlist.PhaseLeaving)
		s.pass(30 * time.Second)
		s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseDraining))

		// The server is gone and unresponsive; the list shows this with a delay.
		s.VMs.SetPhase("s1", vmlist.PhaseGone)
		dutytest.Use[*core.ServerReports](s.nodes[0]).NoteUnresponsive("s1", time.Now())
		s.pass(19 * time.Second)
		s.g.Expect(s.Site.View().ServerLost("s1")).To(gomega.BeFalse())
		s.pass(5 * time.Second)
		_, exists := s.Site.View().Server("s1")
		s.g.Expect(exists).To(gomega.BeFalse(), "gone, unresponsive and without shards")
	})
}

// reportAnswer simulates an answer of server s1 to the lessor on the first node.
func (s *site) reportAnswer(draining bool) {
	dutytest.Use[*core.ServerReports](s.nodes[0]).NoteAnswer("s1", draining, time.Now())
}

func TestALeavingServerIsDrainingWithinThreeSeconds(t *testing.T) {
	cases := map[string]func(s *site){
		"the list says so":   func(s *site) { s.VMs.SetPhase("s1", vmlist.PhaseLeaving) },
		"the server says so": func(s *site) { s.reportAnswer(true) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *site) {
				s.server("s1", "zone-a")
				s.Site.Lessor("zone-a", "node-0")
				s.pass(3 * time.Second)
				s.reportAnswer(false)
				leave(s)
				s.pass(3 * time.Second)
				s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseDraining))
			})
		})
	}
}

// TestAnOldStateDoesNotReviveADrainingServer freezes the view of the role's holder,
// which then tries repeatedly to add the server as live. Those records must have no
// effect.
func TestAnOldStateDoesNotReviveADrainingServer(t *testing.T) {
	run(t, func(s *site) {
		s.Site.Lessor("zone-a", "node-0")
		s.pass(time.Second)
		s.holders(core.RoleServers)[0].Contact.Freeze()
		s.server("s1", "zone-a")
		s.pass(3 * time.Second)
		s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseLive))
		s.reportAnswer(true)
		s.pass(time.Second)
		s.g.Expect(s.phase("s1")).To(gomega.Equal(state.PhaseDraining))
		before := len(s.Site.Records())
		for range 60 {
			s.reportAnswer(true)
			s.pass(time.Second)
		}
		late := s.Site.Records()[before:]
		s.g.Expect(late).NotTo(gomega.BeEmpty(), "the holder continued to add it")
		for _, record := range late {
			s.g.Expect(record.Result.Accepted).To(gomega.BeFalse(), "%v", record.Record)
		}
	})
}

func TestAnOutageOfTheListChangesNothing(t *testing.T) {
	for name, faults := range map[string]vms.Faults{"refused": {Outage: true}, "hanging": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *site) {
				s.server("s1", "zone-a")
				s.pass(3 * time.Second)
				s.VMs.SetFaults(faults)
				s.g.Expect(s.records(func() { s.pass(time.Minute) })).To(gomega.BeZero())
				s.VMs.SetFaults(vms.Faults{})
				s.server("s2", "zone-b")
				s.pass(3 * time.Second)
				s.g.Expect(s.phase("s2")).To(gomega.Equal(state.PhaseLive))
			})
		})
	}
}

func TestALostNodeIsRemovedWhenTheListAgrees(t *testing.T) {
	cases := []struct {
		name    string
		list    func(s *site)
		after   time.Duration
		removed bool
		lost    bool
	}{
		{"gone", func(s *site) { s.VMs.SetPhase("node-4", vmlist.PhaseGone) }, 20 * time.Second, true, true},
		{"leaving", func(s *site) { s.VMs.SetPhase("node-4", vmlist.PhaseLeaving) }, 20 * time.Second, true, false},
		{"missing", func(s *site) { s.VMs.Remove("node-4") }, 30 * time.Second, true, false},
		// The duration is covered by TestRemovalOfANode in package membership.
		{"list lags: live", func(*site) {}, time.Minute, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(s *site) {
				s.Site.Lessor("zone-b", "node-4") // an incarnation stays marked as lost while a group refers to it
				s.nodes[4].Kill()
				c.list(s)
				s.pass(c.after)
				s.g.Expect(s.member("node-4")).To(gomega.Equal(!c.removed))
				s.g.Expect(s.Site.View().NodeLost("node-4")).To(gomega.Equal(c.lost))
			})
		})
	}
}

func TestAMisleadingListRemovesNobodyWhoAnswers(t *testing.T) {
	run(t, func(s *site) {
		s.VMs.Override("node-1", nil)
		s.VMs.Override("node-2", &vmlist.VM{ID: "node-2", Role: vmlist.RoleEntry, Zone: "zone-c", Phase: vmlist.PhaseGone})
		s.g.Expect(s.records(func() { s.pass(time.Minute) })).To(gomega.BeZero())
	})
}

// TestNodesCutOffFromSomeAreNotRemoved cuts links between nodes while the list shows
// the node as gone. The node is not removed as long as one watcher gets its answers.
func TestNodesCutOffFromSomeAreNotRemoved(t *testing.T) {
	run(t, func(s *site) {
		s.VMs.SetPhase("node-3", vmlist.PhaseGone)
		ring := core.NewNodeRing(s.Site.View().Nodes())
		for _, watcher := range ring.Watchers("node-3")[1:] {
			s.Network.Cut("node-3", watcher)
		}
		s.pass(time.Minute)
		s.g.Expect(s.member("node-3")).To(gomega.BeTrue())
		s.Network.Isolate("node-3")
		s.pass(30 * time.Second)
		// The node is cut off from its peers but not from the log. It may join and
		// be removed repeatedly, so the test only requires one removal.
		removed := 0
		for _, record := range s.Site.Records() {
			if record.Record.GetRemoveNode().GetNode() == "node-3" {
				removed++
			}
		}
		s.g.Expect(removed).To(gomega.BeNumerically(">", 0))
	})
}

// TestStalledConnectionsAreNotUnresponsiveNodes stalls every open connection
// repeatedly while the list wrongly shows all nodes as gone. No node may be removed.
func TestStalledConnectionsAreNotUnresponsiveNodes(t *testing.T) {
	run(t, func(s *site) {
		for _, n := range s.nodes {
			s.VMs.SetPhase(string(n.ID), vmlist.PhaseGone)
		}
		for range 20 {
			for _, a := range s.nodes {
				for _, b := range s.nodes {
					s.Network.Stall(a.ID, b.ID)
				}
			}
			s.pass(3 * time.Second)
		}
		s.g.Expect(s.Site.View().Nodes()).To(gomega.HaveLen(6))
	})
}

// TestAnIdleSiteCostsLittle counts the reads of the VM list and the Status calls of
// an idle site.
func TestAnIdleSiteCostsLittle(t *testing.T) {
	run(t, func(s *site) {
		s.server("s1", "zone-a")
		s.pass(5 * time.Second)
		calls, reads := s.Network.Traffic()[peer.KindStatus].Requests, s.VMs.Reads()
		s.pass(10 * time.Second)
		calls, reads = s.Network.Traffic()[peer.KindStatus].Requests-calls, s.VMs.Reads()-reads
		s.g.Expect(calls).To(gomega.BeNumerically("~", 10*6*3, 20), "each node watches three")
		s.g.Expect(reads).To(gomega.BeNumerically("~", 10, 2), "one node reads the list")
	})
}
