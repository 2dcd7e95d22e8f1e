package lessor

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const testBoot = "boot"

func testConfig(node topo.NodeID, zone topo.Zone) Config {
	return Config{
		Node: node, Boot: testBoot, Zone: zone, Group: "z0/0",
		Lease:          lease.Timing{TTL: time.Second, Margin: 50 * time.Millisecond, DriftPPM: 200},
		RenewEvery:     250 * time.Millisecond,
		HeartbeatEvery: 100 * time.Millisecond,
		SuspectAfter:   350 * time.Millisecond,
		StandInAfter:   500 * time.Millisecond,
		RetryAfter:     100 * time.Millisecond,
	}
}

func testNode(i int) state.Node {
	return state.Node{ID: topo.NodeID(fmt.Sprintf("n%d", i)), Boot: testBoot, Zone: topo.Zone(fmt.Sprintf("z%d", i%2))}
}

// drawFacts draws the facts of a group in which a node has no part.
func drawFacts(t *rapid.T, term uint64) *Facts {
	facts := &Facts{Group: state.Group{ID: "z0/0"}}
	count := rapid.IntRange(1, 10).Draw(t, "nodes")
	for i := range count {
		facts.Nodes = append(facts.Nodes, testNode(i))
	}
	if rapid.Bool().Draw(t, "claimed") {
		facts.Group.Term = topo.MakeTerm(topo.Offset(term), 0)
		facts.Group.Lessor, facts.Group.LessorBoot = topo.NodeID(fmt.Sprintf("n%d", rapid.IntRange(1, 11).Draw(t, "lessor"))), testBoot
		if rapid.Bool().Draw(t, "standby named") {
			facts.Group.Standby, facts.Group.StandbyBoot = topo.NodeID(fmt.Sprintf("n%d", rapid.IntRange(1, 11).Draw(t, "standby"))), testBoot
		}
		facts.LessorGone = rapid.Bool().Draw(t, "lessor gone")
		facts.StandbyGone = rapid.Bool().Draw(t, "standby gone")
	}
	return facts
}

// TestIdleMemberHasNothingDue lets members observe states, probe nodes that
// answer or fail, and claim. Once a member reports that it is idle, no action
// becomes due, however long it waits.
func TestIdleMemberHasNothingDue(t *testing.T) {
	idle := 0
	rapid.Check(t, func(t *rapid.T) {
		self := testNode(rapid.IntRange(0, 9).Draw(t, "self"))
		m := NewMember(testConfig(self.ID, self.Zone))
		now := time.Second
		for step := range rapid.IntRange(1, 6).Draw(t, "states") {
			m.Observe(now, now, true, drawFacts(t, uint64(step+1)))
			for range rapid.IntRange(0, 5).Draw(t, "looks") {
				now += 100 * time.Millisecond
				m.Observe(now, now, true, m.facts)
				for _, action := range m.Plan(now) {
					drawOutcome(t, m, now, action)
				}
			}
			if !m.Idle() {
				continue
			}
			idle++
			for _, wait := range []time.Duration{time.Millisecond, time.Second, time.Hour} {
				now += wait
				m.Observe(now, now, true, m.facts)
				if due := m.Plan(now); len(due) > 0 || !m.Idle() {
					t.Fatalf("idle member has %v due after %v", due, wait)
				}
			}
		}
	})
	if idle == 0 {
		t.Fatal("no member was ever idle")
	}
}

func drawOutcome(t *rapid.T, m *Member, now time.Duration, action Action) {
	switch a := action.(type) {
	case Probe:
		m.BeginProbe(now, a.Node)
		if rapid.Bool().Draw(t, "answers") {
			m.ProbeAnswered(now, Incarnation{Node: a.Node, Boot: testBoot})
		} else {
			m.ProbeFailed(a.Node)
		}
	case ClaimTerm:
		if _, number, allowed := m.BeginClaim(now); allowed {
			m.ClaimFailed(now, number, rapid.Bool().Draw(t, "unknown"))
		}
	}
}

func TestFactsAreCurrentUntilGroupOrNodesChange(t *testing.T) {
	g := gomega.NewWithT(t)
	s := state.New()
	offset := topo.Offset(0)
	apply := func(rec *bspb.Record) *state.View {
		offset++
		rec.Format, rec.Writer, rec.Sequence = 1, "test@1", uint64(offset)
		g.Expect(s.Apply(offset, rec).Accepted).To(gomega.BeTrue())
		return s.View()
	}
	join := func(i int, boot string) *bspb.Record {
		n := testNode(i)
		return &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{Node: string(n.ID), Boot: boot, Zone: string(n.Zone), Region: "r", PeerAddress: "10.0.0.1:7300"}}}
	}
	claim := func(group, node, standby string) *bspb.Record {
		return &bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{Group: group, Node: node, Boot: testBoot, Standby: standby, StandbyBoot: testBoot}}}
	}
	apply(join(0, testBoot))
	view := apply(join(1, testBoot))
	nodes := NodesOf(view, nil)
	facts := FactsOf(view, nodes, "z0/0", false)
	g.Expect(facts.Current(view, nodes)).To(gomega.BeTrue())

	view = apply(claim("z1/0", "n1", "n0")) // another group's term
	g.Expect(sameList(NodesOf(view, nodes), nodes)).To(gomega.BeTrue())
	g.Expect(facts.Current(view, NodesOf(view, nodes))).To(gomega.BeTrue())

	view = apply(claim("z0/0", "n0", "n1")) // this group's term
	g.Expect(facts.Current(view, NodesOf(view, nodes))).To(gomega.BeFalse())
	facts = FactsOf(view, nodes, "z0/0", false)

	view = apply(join(2, testBoot)) // an additional node
	g.Expect(facts.Current(view, NodesOf(view, nodes))).To(gomega.BeFalse())
	nodes = NodesOf(view, nodes)
	facts = FactsOf(view, nodes, "z0/0", false)

	view = apply(join(0, "next")) // another incarnation of the lessor's node
	changed := FactsOf(view, nodes, "z0/0", false)
	g.Expect(changed.LessorGone).To(gomega.BeTrue())
	g.Expect(facts.Current(view, nodes)).To(gomega.BeFalse(), "the lessor's incarnation has ended")
}

// TestOutsiderTurnIsBoundedInLargeZone checks that the delay before nodes of
// other zones claim does not grow with the size of the group's zone.
func TestOutsiderTurnIsBoundedInLargeZone(t *testing.T) {
	for _, c := range []struct{ inside, first int }{{1, 1}, {3, 3}, {4, 4}, {132, 4}} {
		g := gomega.NewWithT(t)
		facts := &Facts{Group: state.Group{ID: "z0/0"}}
		for i := range c.inside {
			facts.Nodes = append(facts.Nodes, state.Node{ID: topo.NodeID(fmt.Sprint("in", i)), Boot: testBoot, Zone: "z0"})
		}
		outsiders := []topo.NodeID{"out0", "out1", "out2"}
		for _, id := range outsiders {
			facts.Nodes = append(facts.Nodes, state.Node{ID: id, Boot: testBoot, Zone: "z1"})
		}
		var turns []int
		for _, id := range outsiders {
			m := NewMember(testConfig(id, "z1"))
			m.Observe(time.Second, time.Second, true, facts)
			turns = append(turns, m.turnIndex)
		}
		g.Expect(turns).To(gomega.ConsistOf(c.first, c.first+1, c.first+2), "%d nodes inside", c.inside)
	}
}
