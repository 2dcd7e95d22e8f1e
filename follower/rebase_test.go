package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const rebaseWait = 3 * time.Minute // enough for a rebase while not every node responds

// expireForAll creates a gap for every node: it appends records that no node
// reads, removes them from the log, and keeps one later record.
func (s *site) expireForAll(members ...*member) {
	s.t.Helper()
	for _, m := range members {
		m.log.Down()
	}
	for i, name := range []string{"lost-1", "lost-2", "kept"} {
		s.put("stranger@b1", uint64(i+1), join(name))
	}
	_, end := s.store.Bounds()
	s.store.Truncate(end - 1)
	time.Sleep(settle)
	for _, m := range members {
		m.log.Heal()
	}
}

// rebases counts the Rebase records in the store.
func (s *site) rebases() int {
	total := 0
	for _, rec := range s.records() {
		if rec.GetRebase() != nil {
			total++
		}
	}
	return total
}

func TestRecordsExpiredForEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a, b, c := s.start("a"), s.start("b"), s.start("c")
		for i, m := range []*member{a, b, c} {
			s.submit(m, join(string(rune('a'+i))))
		}
		time.Sleep(settle)
		// Only b has applied the last record before the gap.
		a.log.Down()
		c.log.Down()
		s.network.Isolate("b")
		s.submit(b, join("only-b"))
		b.log.Down()
		s.network.Heal()
		s.network.Cut("a", "b")
		s.network.Cut("c", "b")
		s.expireForAll(a, b, c)
		for _, m := range []*member{a, b, c} {
			m.log.Set(logfault.Faults{SlowAppends: 5 * time.Second})
		}
		time.Sleep(4 * follower.DefaultRebaseAfter)
		s.g.Expect(s.rebases()).To(gomega.BeZero(), "b was unreachable and may have applied more")
		s.network.Heal()
		time.Sleep(rebaseWait)
		for _, m := range []*member{a, b, c} {
			m.log.Heal()
		}
		s.sameState(a, b, c)
		s.g.Expect(s.rebases()).To(gomega.Equal(1))
		s.g.Expect(a.View().Lineage()).NotTo(gomega.BeZero())
		for name, want := range map[string]bool{"a": true, "only-b": true, "lost-1": false, "lost-2": false, "kept": true} {
			s.g.Expect(hasNode(a, name)).To(gomega.Equal(want), name)
		}
		// The cluster continues, and a process that starts without peers follows.
		s.submit(c, join("after"))
		d := s.start("d", alone)
		s.sameState(a, d)
	})
}

// Nodes that cannot reach each other may all publish their state: the first
// Rebase record applies to every node, including those that had applied more.
func TestConcurrentRebases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		members := []*member{s.start("a"), s.start("b"), s.start("c")}
		for i, m := range members {
			s.submit(m, join(string(rune('a'+i))))
		}
		time.Sleep(settle)
		for _, name := range []topo.NodeID{"a", "b", "c"} {
			s.network.Isolate(name)
		}
		s.expireForAll(members...)
		for _, m := range members {
			m.log.Set(logfault.Faults{SlowAppends: 5 * time.Second})
		}
		time.Sleep(rebaseWait)
		s.g.Expect(s.rebases()).To(gomega.BeNumerically(">=", 2), "several nodes published their state")
		s.network.Heal()
		for _, m := range members {
			m.log.Heal()
		}
		s.sameState(members...)
		s.g.Expect(hasNode(members[0], "kept")).To(gomega.BeTrue())
		s.submit(members[2], join("after"))
		s.sameState(members...)
	})
}

// A node without a gap adopts the rebase too, so that all nodes have the same
// state. A Rebase record for another lineage has no effect.
func TestRebaseAppliesToEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a", noCheckpoints)
		s.submit(a, join("a"))
		old := s.replayed()
		s.submit(a, join("dropped"))
		_, resume := s.store.Bounds()
		s.put("z@b1", 1, join("kept"))
		_, firstChunk := s.store.Bounds()
		s.putCheckpoint(old, "z/rebase/1", intact)
		chunk := s.records()[firstChunk-1].GetCheckpointChunk()
		rebase := func(lineage topo.Offset) *bspb.Record {
			return &bspb.Record{Body: &bspb.Record_Rebase{Rebase: &bspb.Rebase{
				CheckpointId: chunk.GetId(), Applied: chunk.GetApplied(), Digest: chunk.GetDigest(),
				Resume: uint64(resume), FirstChunk: uint64(firstChunk), Lineage: uint64(lineage),
			}}}
		}
		s.put("z@b1", 2, rebase(7))
		time.Sleep(settle)
		s.g.Expect(hasNode(a, "dropped")).To(gomega.BeTrue())
		at := s.put("z@b1", 3, rebase(0))
		s.put("y@b1", 1, rebase(0))
		s.put("z@b1", 4, join("later"))
		b := s.start("b", noCheckpoints)
		c := s.start("c", alone)
		s.sameState(a, b, c)
		for name, want := range map[string]bool{"a": true, "dropped": false, "kept": true, "later": true} {
			s.g.Expect(hasNode(a, name)).To(gomega.Equal(want), name)
		}
		s.g.Expect(a.View().Lineage()).To(gomega.Equal(at))
	})
}

// A Rebase record of an older lineage never moves a node back, even while the
// node searches for a Rebase record.
func TestStaleRebaseIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a", noCheckpoints)
		s.submit(a, join("a"))
		old := s.replayed()
		s.submit(a, join("b"))
		s.expireForAll(a)
		time.Sleep(rebaseWait)
		lineage := a.View().Lineage()
		s.g.Expect(lineage).NotTo(gomega.BeZero())
		s.submit(a, join("newer"))

		a.log.Down()
		s.put("y@b1", 1, join("lost"))
		_, resume := s.store.Bounds()
		s.putCheckpoint(old, "z/rebase/1", intact)
		first, _ := s.store.Bounds()
		chunk := s.records()[resume-first].GetCheckpointChunk()
		stale := s.put("z@b1", 1, &bspb.Record{Body: &bspb.Record_Rebase{Rebase: &bspb.Rebase{
			CheckpointId: chunk.GetId(), Applied: chunk.GetApplied(), Digest: chunk.GetDigest(),
			Resume: uint64(resume), FirstChunk: uint64(resume),
		}}})
		s.store.Truncate(resume)
		a.log.Heal()
		time.Sleep(2 * rebaseWait)
		s.g.Expect(hasNode(a, "newer")).To(gomega.BeTrue())
		s.g.Expect(a.View().Lineage()).To(gomega.BeNumerically(">", stale), "the node wrote its own rebase later")
		s.submit(a, join("after"))
	})
}

// A node without state never publishes one, and has no contact.
func TestNoRebaseWithoutState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		s.put("x@b1", 1, join("x"))
		s.put("x@b1", 2, join("y"))
		s.store.Truncate(2)
		a := s.start("a", func(c *follower.Config, _ *logfault.Log) { c.RebaseAfter = time.Second })
		time.Sleep(rebaseWait)
		s.g.Expect(s.rebases()).To(gomega.BeZero())
		s.g.Expect(a.View().Applied()).To(gomega.BeZero())
		s.g.Expect(a.LastContact().IsZero()).To(gomega.BeTrue())
	})
}
