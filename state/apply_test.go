package state

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	wells  = topo.Service("wells")
	groupA = "zone-a/0"
	groupB = "zone-b/0"
)

func shard(index uint32) topo.ShardID { return topo.ShardID{Service: wells, Index: index} }

// site is a log with four wells shards, servers a1 and a2 in zone-a and b1 in
// zone-b, and the lessors n1 (standby n2) and n3.
func site(t *testing.T) (l *log, termA, termB topo.Term) {
	t.Helper()
	g := gomega.NewWithT(t)
	l = newLog()
	g.Expect(l.add("op", publish(0, keyed("wells", 4, 0))).Accepted).To(gomega.BeTrue())
	for _, id := range []string{"n1", "n2", "n3"} {
		g.Expect(l.add(id+"@b1", joinNode(id, "b1")).Accepted).To(gomega.BeTrue())
	}
	g.Expect(l.add("vms", update([]*bspb.ServerEntry{
		server("a1", "wells", groupA, PhaseLive),
		server("a2", "wells", groupA, PhaseLive),
		server("b1", "wells", groupB, PhaseLive),
	})).Accepted).To(gomega.BeTrue())
	g.Expect(l.add("n1@b1", claimRecord(claim(groupA, topo.Term{}, "n1", "n2"))).Accepted).To(gomega.BeTrue())
	g.Expect(l.add("n3@b1", claimRecord(claim(groupB, topo.Term{}, "n3", ""))).Accepted).To(gomega.BeTrue())
	group, _ := l.state.View().Group(groupA)
	other, _ := l.state.View().Group(groupB)
	return l, group.Term, other.Term
}

func TestSecondPublishOnSameBaseIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLog()
	g.Expect(l.add("x", publish(0, keyed("wells", 4, 0))).Accepted).To(gomega.BeTrue())
	second := l.add("y", publish(0, keyed("quotes", 4, 0)))
	g.Expect(second.Accepted).To(gomega.BeFalse())
	g.Expect(second.Conflict.Reason).To(gomega.Equal(ReasonBase))
	g.Expect(l.state.View().SiteVersion()).To(gomega.Equal(uint64(1)))
	_, exists := l.state.View().Service("quotes")
	g.Expect(exists).To(gomega.BeFalse())
}

func TestAssignmentExpectations(t *testing.T) {
	l, termA, termB := site(t)
	first := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.Fence{}, "a1", "a2")))
	fence := topo.MakeFence(first.Offset, 0)
	split := topo.ShardID{Service: wells, Index: 0, Key: keyIn(0, 4, 0)}
	wrongRange := topo.ShardID{Service: wells, Index: 1, Key: split.Key}
	merge := newAssignment(split, fence, "a1", "")
	merge.Merge = true
	cases := []struct {
		name   string
		rec    *bspb.Record
		reason Reason // 0 when accepted
	}{
		{"no service", assign(groupA, termA, newAssignment(topo.ShardID{Service: "none"}, topo.Fence{}, "a1", "")), ReasonNoShard},
		{"no range", assign(groupA, termA, newAssignment(shard(4), topo.Fence{}, "a1", "")), ReasonNoShard},
		{"key of another range", assign(groupA, termA, newAssignment(wrongRange, topo.Fence{}, "a1", "")), ReasonNoShard},
		{"owned, expected none", assign(groupA, termA, newAssignment(shard(0), topo.Fence{}, "a2", "")), ReasonFence},
		{"other group's term", assign(groupB, termB, newAssignment(shard(0), fence, "b1", "")), ReasonTerm},
		{"standby's term", assign(groupA, termA.Standby(), newAssignment(shard(0), fence, "a2", "")), ReasonTerm},
		{"no term", assign("", topo.Term{}, newAssignment(shard(0), fence, "a2", "")), ReasonTerm},
		{"unknown server", assign(groupA, termA, newAssignment(shard(0), fence, "zz", "")), ReasonNoServer},
		{"unknown standby", assign(groupA, termA, newAssignment(shard(0), fence, "a2", "zz")), ReasonNoServer},
		{"no owner", assign(groupA, termA, newAssignment(shard(0), fence, "", "")), ReasonNoServer},
		{"owner is standby", assign(groupA, termA, newAssignment(shard(0), fence, "a1", "a1")), ReasonMalformed},
		{"empty", assign(groupA, termA), ReasonMalformed},
		{"split expecting none", assign(groupA, termA, newAssignment(split, topo.Fence{}, "a2", "")), ReasonFence},
		{"split by another lessor", assign(groupB, termB, newAssignment(split, fence, "b1", "")), ReasonTerm},
		{"merge of no split key", assign(groupA, termA, merge), ReasonNoShard},
		{"unowned, by anyone", assign("", topo.Term{}, newAssignment(shard(1), topo.Fence{}, "b1", "")), 0},
		{"split by the lessor", assign(groupA, termA, newAssignment(split, fence, "a2", "")), 0},
		{"move by the lessor", assign(groupA, termA, newAssignment(shard(0), fence, "b1", "a1")), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			before := l.state.View().siteVersion
			result := l.add("n1@b1", c.rec)
			g.Expect(result.Accepted).To(gomega.Equal(c.reason == 0))
			if c.reason != 0 {
				g.Expect(result.Conflict.Reason).To(gomega.Equal(c.reason), result.Conflict.Error())
			}
			g.Expect(l.state.View().siteVersion).To(gomega.Equal(before))
		})
	}
}

func TestAssignmentsAreAppliedIndependently(t *testing.T) {
	g := gomega.NewWithT(t)
	l, termA, _ := site(t)
	result := l.add("n1@b1", assign(groupA, termA,
		newAssignment(shard(0), topo.Fence{}, "a1", ""),
		newAssignment(shard(1), topo.MakeFence(3, 0), "a1", ""),
		newAssignment(shard(0), topo.MakeFence(l.state.Applied()+1, 0), "a2", ""),
		newAssignment(shard(2), topo.Fence{}, "a2", ""),
	))
	g.Expect(result.Accepted).To(gomega.BeTrue())
	g.Expect(result.RejectedIndexes()).To(gomega.Equal([]int{1, 2}))
	a, _ := l.state.View().Shard(shard(0))
	g.Expect(a.Owner).To(gomega.Equal(topo.ServerID("a1")))
}

func TestMergeNeverRestoresAnEndedFence(t *testing.T) {
	g := gomega.NewWithT(t)
	l, termA, _ := site(t)
	first := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.Fence{}, "a1", "a2")))
	rangeFence := topo.MakeFence(first.Offset, 0)
	key := keyIn(0, 4, 0)
	split := topo.ShardID{Service: wells, Index: 0, Key: key}
	away := l.add("n1@b1", assign(groupA, termA, newAssignment(split, rangeFence, "a2", "")))
	mergeOf := func(fence topo.Fence) *bspb.Record {
		body := newAssignment(split, fence, "a1", "")
		body.Merge = true
		return assign(groupA, termA, body)
	}
	apart := l.add("n1@b1", mergeOf(topo.MakeFence(away.Offset, 0)))
	g.Expect(apart.Conflict.Reason).To(gomega.Equal(ReasonOwnersDiffer))

	back := l.add("n1@b1", assign(groupA, termA, newAssignment(split, topo.MakeFence(away.Offset, 0), "a1", "")))
	merged := l.add("n1@b1", mergeOf(topo.MakeFence(back.Offset, 0)))
	g.Expect(merged.Accepted).To(gomega.BeTrue())
	a, _ := l.state.View().Lookup(wells, key)
	g.Expect(a.Shard.Key).To(gomega.BeEmpty())
	g.Expect(a.Owner).To(gomega.Equal(topo.ServerID("a1")))
	g.Expect(a.Standby).To(gomega.Equal(topo.ServerID("a2")))
	g.Expect(a.Fence).To(gomega.Equal(topo.MakeFence(merged.Offset, 0)))
}

func TestServerThatOwnsShards(t *testing.T) {
	g := gomega.NewWithT(t)
	l, termA, _ := site(t)
	first := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.Fence{}, "a1", "a2")))
	l.add("vms", update([]*bspb.ServerEntry{server("a1", "wells", groupB, PhaseDraining)}))
	a1, _ := l.state.View().Server("a1")
	g.Expect(a1.Group).To(gomega.Equal(topo.GroupID(groupA)))
	g.Expect(a1.Phase).To(gomega.Equal(PhaseDraining))
	refused := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(1), topo.Fence{}, "a1", "")))
	g.Expect(refused.Conflict.Reason).To(gomega.Equal(ReasonNoServer))

	l.add("vms", update(nil, "a1"))
	a1, exists := l.state.View().Server("a1")
	g.Expect(exists).To(gomega.BeTrue())
	g.Expect(a1.Phase).To(gomega.Equal(PhaseGone))
	moved := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.MakeFence(first.Offset, 0), "a2", "")))
	g.Expect(moved.Accepted).To(gomega.BeTrue())
	_, exists = l.state.View().Server("a1")
	g.Expect(exists).To(gomega.BeFalse())
}

func TestClaims(t *testing.T) {
	l, termA, _ := site(t)
	continued := func(node string, rank uint32) *bspb.ClaimTerm {
		body := claim(groupA, termA, node, "n1")
		body.Continued = ordinalToProto(topo.MakeTerm(termA.Offset, rank).Ordinal)
		return body
	}
	settled := claim(groupA, termA, "n2", "")
	settled.Settled = true
	cases := []struct {
		name   string
		body   *bspb.ClaimTerm
		reason Reason
	}{
		{"stale term", claim(groupA, topo.MakeTerm(1, 0), "n3", ""), ReasonTerm},
		{"own standby", claim(groupA, termA, "n2", "n2"), ReasonMalformed},
		{"continued by another", continued("n3", 1), ReasonStandby},
		{"continued under another term", continued("n2", 2), ReasonTerm},
		{"settled by another", settled, ReasonTerm},
		{"continued by the standby", continued("n2", 1), 0},
		{"the same again", continued("n2", 1), ReasonTerm},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			result := l.add("x", claimRecord(c.body))
			g.Expect(result.Accepted).To(gomega.Equal(c.reason == 0))
			if c.reason != 0 {
				g.Expect(result.Conflict.Reason).To(gomega.Equal(c.reason), result.Conflict.Error())
			}
		})
	}
}

func TestRetiringServiceIsDrainedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	l, termA, _ := site(t)
	first := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.Fence{}, "a1", "a2")))
	fence := topo.MakeFence(first.Offset, 0)
	changed := l.add("op", publish(1, keyed("wells", 8, 0)))
	g.Expect(changed.Conflict.Reason).To(gomega.Equal(ReasonShardsOwned))

	g.Expect(l.add("op", publish(1)).Accepted).To(gomega.BeTrue())
	view := l.state.View()
	g.Expect(view.Retiring()).To(gomega.HaveKey(wells))
	service, exists, retiring := view.ActiveService(wells)
	g.Expect(service.Shards).To(gomega.Equal(uint32(4)))
	g.Expect(exists && retiring).To(gomega.BeTrue())
	refused := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(1), topo.Fence{}, "a1", "")))
	g.Expect(refused.Conflict.Reason).To(gomega.Equal(ReasonNoShard))
	moved := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), fence, "a2", "")))
	g.Expect(moved.Accepted).To(gomega.BeTrue())

	released := l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.MakeFence(moved.Offset, 0), "", "")))
	g.Expect(released.Accepted).To(gomega.BeTrue())
	g.Expect(l.state.View().Retiring()).To(gomega.BeEmpty())
	_, exists = l.state.View().Shard(shard(0))
	g.Expect(exists).To(gomega.BeFalse())
	g.Expect(l.add("op", publish(2, keyed("wells", 8, 0))).Accepted).To(gomega.BeTrue())
	g.Expect(l.state.View().ShardCount(wells)).To(gomega.Equal(uint32(8)))
}

// A disconnected lessor may still use a MaxDisconnected that a newer site
// configuration shortened, so a lessor that takes over must wait the longer one.
func TestShortenedLimitAppliesUntilSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	l, termA, _ := site(t)
	publishLimit := func(base uint64, limit int64) {
		g.Expect(l.add("op", publish(base, keyed("wells", 4, limit))).Accepted).To(gomega.BeTrue())
	}
	limit := func() time.Duration { return l.state.View().DisconnectedLimit(wells, groupA) }
	publishLimit(1, 60_000)
	publishLimit(2, 1_000)
	g.Expect(limit()).To(gomega.Equal(time.Minute))
	second := l.add("n2@b1", claimRecord(claim(groupA, termA, "n2", "n1")))
	third := l.add("n3@b1", claimRecord(claim(groupA, topo.MakeTerm(second.Offset, 0), "n3", "n1")))
	g.Expect(limit()).To(gomega.Equal(time.Minute), "n1 may be cut off since before the change")
	settled := claim(groupA, topo.MakeTerm(third.Offset, 0), "n3", "n1")
	settled.Settled = true
	g.Expect(l.add("n3@b1", claimRecord(settled)).Accepted).To(gomega.BeTrue())
	g.Expect(limit()).To(gomega.Equal(time.Second))
	publishLimit(3, -1)
	publishLimit(4, 2_000)
	g.Expect(limit()).To(gomega.Equal(siteconfig.Forever))
}

func TestLostMarks(t *testing.T) {
	g := gomega.NewWithT(t)
	l, termA, _ := site(t)
	l.add("n1@b1", assign(groupA, termA, newAssignment(shard(0), topo.Fence{}, "a1", "")))
	g.Expect(l.add("op", confirmLoss([]string{"zz"}, []string{"zz"})).Conflict.Reason).To(gomega.Equal(ReasonNothingNamed))
	l.add("op", confirmLoss([]string{"a1", "a2"}, []string{"n1"}))
	view := l.state.View()
	g.Expect(view.ServerLost("a1") && view.NodeLost("n1") && view.IncarnationLost("n1", "b1")).To(gomega.BeTrue())
	l.add("vms", update([]*bspb.ServerEntry{
		server("a1", "wells", groupA, PhaseLive), server("a2", "wells", groupA, PhaseLive),
	}))
	g.Expect(l.state.View().ServerLost("a1")).To(gomega.BeTrue(), "still owns a shard")
	g.Expect(l.state.View().ServerLost("a2")).To(gomega.BeFalse())
	l.add("n1@b2", joinNode("n1", "b2"))
	g.Expect(l.state.View().NodeLost("n1")).To(gomega.BeFalse())
	g.Expect(l.state.View().IncarnationLost("n1", "b1")).To(gomega.BeTrue(), "a group still names that incarnation")
	l.add("n2@b1", claimRecord(claim(groupA, termA, "n2", "n3")))
	g.Expect(l.state.View().IncarnationLost("n1", "b1")).To(gomega.BeFalse())
	refused := l.add("x", removeNode("n1", "b1"))
	g.Expect(refused.Conflict.Reason).To(gomega.Equal(ReasonBoot))
}

func TestWritersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLog()
	l.add("n1@b1", joinNode("n1", "b1"))
	for i := range 3 * maxInactiveWriters {
		l.add("other@"+string(rune('a'+i%26))+time.Duration(i).String(), confirmLoss(nil, nil))
	}
	g.Expect(len(l.state.writers.entries)).To(gomega.BeNumerically("<=", maxInactiveWriters+1))
	g.Expect(l.state.LastSequence("n1@b1")).To(gomega.Equal(uint64(1)), "a current incarnation is never evicted")
}
