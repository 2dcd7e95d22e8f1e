package follower

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func TestRelayCount(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct{ nodes, least, want int }{
		{0, 3, 0}, {2, 3, 2}, {3, 3, 3}, {12, 3, 3}, {48, 3, 3}, {49, 3, 4}, {132, 3, 9}, {132, 20, 20}, {132, 0, 132},
	} {
		g.Expect(RelayCount(c.nodes, c.least)).To(gomega.Equal(c.want), "%+v", c)
	}
}

func zoneView(zones, nodes int) *state.View { return zoneState(zones, nodes).View() }

// zoneState returns a state with this many zones and nodes per zone.
func zoneState(zones, nodes int) *state.State {
	whole := state.New()
	for i := range zones * nodes {
		whole.Apply(topo.Offset(i+1), &bspb.Record{
			Format: 1, Writer: "w", Sequence: uint64(i + 1),
			Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
				Node: fmt.Sprint("node-", i), Boot: "b", Zone: fmt.Sprint("zone-", i%zones),
			}},
		})
	}
	return whole
}

func TestRelaysBelongToTheZoneAndShareItsNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	view := zoneView(5, 132)
	relays := relaysOf(view, "zone-2", 3)
	g.Expect(relays).To(gomega.HaveLen(9))
	g.Expect(relaysOf(view, "zone-2", 3)).To(gomega.Equal(relays), "independent of iteration order")
	asked, second := map[topo.NodeID]int{}, map[topo.NodeID]int{}
	for id, node := range view.Nodes() {
		if node.Zone != "zone-2" {
			continue
		}
		order := relaysFor(view, "zone-2", 3, id)
		if slices.Contains(relays, id) {
			g.Expect(order).To(gomega.BeEmpty())
			continue
		}
		g.Expect(order).To(gomega.ConsistOf(relays))
		asked[order[0]]++
		if order[0] == relays[0] {
			second[order[1]]++
		}
	}
	for _, relay := range relays {
		node, _ := view.Node(relay)
		g.Expect(node.Zone).To(gomega.Equal(topo.Zone("zone-2")))
		g.Expect(asked[relay]).To(gomega.BeNumerically("~", 13, 1), string(relay))
	}
	g.Expect(len(second)).To(gomega.BeNumerically(">=", 4), "nodes of a lost relay spread over the others")
	g.Expect(relaysFor(view, "zone-2", 3, "unknown")).To(gomega.ConsistOf(relays))
	g.Expect(relaysOf(view, "zone-elsewhere", 3)).To(gomega.BeEmpty())
}

// Nodes with fewer roles come first; nodes that are confirmed lost are left out.
func TestRelaysAreNodesWithFewRoles(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := zoneState(1, 6)
	before := relayOrder(whole.View(), "zone-0")
	offset := whole.Applied()
	apply := func(rec *bspb.Record) {
		offset++
		rec.Format, rec.Writer, rec.Sequence = 1, "w", uint64(offset)
		g.Expect(whole.Apply(offset, rec).Accepted).To(gomega.BeTrue())
	}
	claim := func(group int, lessor, standby topo.NodeID) {
		apply(&bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{
			Group: string(topo.MakeGroupID("zone-0", group)),
			Node:  string(lessor), Boot: "b", Standby: string(standby), StandbyBoot: "b",
		}}})
	}
	claim(0, before[0], before[1])
	claim(1, before[0], before[2])
	want := []topo.NodeID{before[3], before[4], before[5], before[1], before[2], before[0]}
	g.Expect(relayOrder(whole.View(), "zone-0")).To(gomega.Equal(want))
	apply(&bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
		Nodes: []string{string(want[0])},
	}}})
	g.Expect(relayOrder(whole.View(), "zone-0")).To(gomega.Equal(want[1:]))
}

func TestTwoRelayFailuresSwitchToTheLog(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	ordered := []topo.NodeID{"a", "b", "c"}
	s := newSources()
	g.Expect(s.choose(now, nil)).To(gomega.Equal(logSource))
	g.Expect(s.choose(now, ordered)).To(gomega.Equal(topo.NodeID("a")))
	s.noteFailure(now, "a")
	g.Expect(s.choose(now, ordered)).To(gomega.Equal(topo.NodeID("b")))
	s.noteFailure(now, "b")
	g.Expect(s.choose(now, ordered)).To(gomega.Equal(logSource), "although c was not tried")
	now = now.Add(readLogDuration)
	g.Expect(s.choose(now, ordered)).To(gomega.Equal(topo.NodeID("a")))
	s.noteFailure(now, "a") // fails again soon: avoided for longer
	s.noteSuccess()
	g.Expect(s.choose(now.Add(initialAvoidance), ordered)).To(gomega.Equal(topo.NodeID("b")))
	g.Expect(s.choose(now.Add(2*initialAvoidance), ordered)).To(gomega.Equal(topo.NodeID("a")))
	for range 10 {
		now = now.Add(maxAvoidance)
		s.noteFailure(now, "a")
		s.noteSuccess()
	}
	g.Expect(s.choose(now.Add(maxAvoidance), ordered)).To(gomega.Equal(topo.NodeID("a")), "never avoided for longer")
	s.noteFailure(now, "a")
	s.retain([]topo.NodeID{"b", "c"})
	g.Expect(s.avoided).NotTo(gomega.HaveKey(topo.NodeID("a")))
	s.noteFailure(now, "b")
	s.reset()
	g.Expect(s.choose(now, ordered)).To(gomega.Equal(topo.NodeID("a")))
}

// Contact through a relay is as old as the relay's contact when the request
// arrived, plus a drift allowance, because the relay's clock may be slower.
func TestRelayContactIncludesAgeAndDrift(t *testing.T) {
	g := gomega.NewWithT(t)
	begun := time.Unix(100, 0)
	g.Expect(contactOf(relayResponse{begun: begun}, 200)).To(gomega.Equal(begun))
	g.Expect(contactOf(relayResponse{begun: begun, age: 10 * time.Second}, 200)).
		To(gomega.Equal(begun.Add(-10*time.Second - 4*time.Millisecond)))
}

// The contact age that a relay reports is rounded up, never negative, and absent
// without contact.
func TestContactAgeAt(t *testing.T) {
	g := gomega.NewWithT(t)
	f := New(Config{Node: "a", Boot: "b"})
	at := time.Unix(100, 0)
	g.Expect(f.contactAgeAt(at)).To(gomega.BeNil())
	f.renewContact(at)
	g.Expect(*f.contactAgeAt(at.Add(-time.Second))).To(gomega.Equal(uint32(0)))
	g.Expect(*f.contactAgeAt(at)).To(gomega.Equal(uint32(0)))
	g.Expect(*f.contactAgeAt(at.Add(time.Nanosecond))).To(gomega.Equal(uint32(1)))
	g.Expect(*f.contactAgeAt(at.Add(1500 * time.Microsecond))).To(gomega.Equal(uint32(2)))
	g.Expect(*f.contactAgeAt(at.Add(2000 * time.Hour))).To(gomega.Equal(^uint32(0)))
}

func TestRelayContactRequiresItsRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	a := &applier{f: New(Config{Node: "a", Boot: "b"}), state: at(t, 5, 0)}
	begun := time.Unix(100, 0)
	a.noteRelayed(&relayResponse{begun: begun, applied: 6, known: true})
	g.Expect(a.f.LastContact().IsZero()).To(gomega.BeTrue(), "a record is missing")
	a.noteRelayed(&relayResponse{begun: begun, applied: 5})
	g.Expect(a.f.LastContact().IsZero()).To(gomega.BeTrue(), "the relay had no contact")
	a.noteRelayed(&relayResponse{begun: begun, applied: 5, known: true})
	g.Expect(a.f.LastContact()).To(gomega.Equal(begun))
	a.noteRelayed(&relayResponse{begun: begun, applied: 4, known: true, age: time.Second})
	g.Expect(a.f.LastContact()).To(gomega.Equal(begun), "never older")
}

// The contact age that a relay reports is measured by the configured clock, which
// advances while the machine is suspended.
func TestContactAgesWhileTheMachineIsSuspended(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	f := New(Config{Node: "relay", Now: func() time.Time { return now }})
	g.Expect(f.contactAgeAt(f.now())).To(gomega.BeNil())
	f.renewContact(now)
	now = now.Add(10 * time.Second) // suspended: time.Now has not moved
	age := f.contactAgeAt(f.now())
	g.Expect(age).NotTo(gomega.BeNil())
	g.Expect(time.Duration(*age) * time.Millisecond).To(gomega.Equal(10 * time.Second))
}
