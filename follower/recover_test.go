package follower_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// noCheckpoints starts a node that writes no checkpoints of its own.
func noCheckpoints(c *follower.Config, _ *logfault.Log) { c.CheckpointEvery = 1 << 30 }

// alone starts a node that has no peers and writes no checkpoints.
func alone(c *follower.Config, log *logfault.Log) {
	noCheckpoints(c, log)
	c.Peers = nil
}

// A node that starts without peers must restore a complete checkpoint of a given
// log, or nothing.
func TestStartFromCheckpoints(t *testing.T) {
	// Each layout returns the lowest retained offset and the expected nodes.
	cases := []struct {
		name   string
		layout func(s *site) (first topo.Offset, want []string)
	}{
		{"newest complete checkpoint", func(s *site) (topo.Offset, []string) {
			s.put("op@b", 1, join("a"))
			s.putCheckpoint(s.replayed(), "c1", intact)
			s.put("op@b", 2, join("b"))
			first := s.replayed().Applied()
			s.putCheckpoint(s.replayed(), "c2", intact)
			s.put("op@b", 3, join("c"))
			return first + 1, []string{"a", "b", "c"}
		}},
		{"newest is incomplete", func(s *site) (topo.Offset, []string) {
			s.put("op@b", 1, join("a"))
			before := s.replayed()
			s.putCheckpoint(before, "c1", intact)
			s.put("op@b", 2, join("b"))
			s.putCheckpoint(s.replayed(), "c2", truncated)
			s.put("op@b", 3, join("c"))
			return before.Applied() + 1, []string{"a", "b", "c"}
		}},
		{"newest is damaged", func(s *site) (topo.Offset, []string) {
			s.put("op@b", 1, join("a"))
			before := s.replayed()
			s.putCheckpoint(before, "c1", intact)
			s.put("op@b", 2, join("b"))
			s.putCheckpoint(s.replayed(), "c2", func(chunks []*bspb.CheckpointChunk) []*bspb.CheckpointChunk {
				chunks[0].Data[0] ^= 1
				return chunks
			})
			return before.Applied() + 1, []string{"a", "b"}
		}},
		{"two writers' chunks are mixed", func(s *site) (topo.Offset, []string) {
			s.put("op@b", 1, join("a"))
			before := s.replayed()
			mixed := newSite(s.t, memlog.Retention{})
			mixed.putCheckpoint(before, "c2", intact)
			other := mixed.records()
			i := 0
			s.putCheckpoint(before, "c1", func(chunks []*bspb.CheckpointChunk) []*bspb.CheckpointChunk {
				var both []*bspb.CheckpointChunk
				for ; i < len(chunks); i++ {
					both = append(both, chunks[i], other[i].GetCheckpointChunk())
				}
				return both
			})
			s.put("op@b", 2, join("b"))
			return before.Applied() + 1, []string{"a", "b"}
		}},
		{"only an incomplete checkpoint", func(s *site) (topo.Offset, []string) {
			s.put("op@b", 1, join("a"))
			before := s.replayed()
			s.putCheckpoint(before, "c1", truncated)
			return before.Applied() + 1, nil
		}},
		{"records after it are not retained", func(s *site) (topo.Offset, []string) {
			s.put("op@b", 1, join("a"))
			before := s.replayed()
			s.put("op@b", 2, join("b"))
			s.putCheckpoint(before, "c1", intact)
			return before.Applied() + 2, nil
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, memlog.Retention{})
				first, want := c.layout(s)
				s.store.Truncate(first)
				a := s.start("a", alone)
				time.Sleep(settle)
				s.g.Expect(a.View().Nodes()).To(gomega.HaveLen(len(want)))
				for _, name := range want {
					s.g.Expect(hasNode(a, name)).To(gomega.BeTrue(), name)
				}
				s.g.Expect(a.LastContact().IsZero()).To(gomega.Equal(want == nil))
			})
		})
	}
}

// Without a complete checkpoint in the log, a node restores a peer's state.
func TestIncompleteCheckpointAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a", noCheckpoints)
		s.submit(a, join("a"))
		s.submit(a, publish(0))
		s.putCheckpoint(s.replayed(), "c1", truncated)
		time.Sleep(settle)
		s.store.Truncate(3)
		b := s.start("b", noCheckpoints)
		s.sameState(a, b)
		s.g.Expect(b.LastContact().IsZero()).To(gomega.BeFalse())
	})
}

// A node that is paused until the log drops its next record continues from a
// checkpoint; its submissions in flight end with an unknown outcome.
func TestRetentionPassedWhilePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{Records: 60})
		s.every = 20
		a, b := s.start("a"), s.start("b")
		s.submit(a, join("a"))
		s.submit(b, join("b"))
		time.Sleep(settle)
		b.log.Set(logfault.Faults{ReadsDown: true})
		s.network.Isolate("b")
		paused := b.View().Applied()
		unread := make(chan error, 1)
		go func() {
			_, err := b.Submit(context.Background(), join("b"))
			unread <- err
		}()
		for range 300 {
			s.submit(a, join("x"))
			time.Sleep(100 * time.Millisecond)
		}
		first, _ := s.store.Bounds()
		s.g.Expect(first).To(gomega.BeNumerically(">", paused+1))
		s.g.Expect(b.View().Applied()).To(gomega.Equal(paused))
		b.log.Heal()
		var unknown *follower.UnknownOutcomeError
		s.g.Expect(errors.As(<-unread, &unknown)).To(gomega.BeTrue())
		s.sameState(a, b)
		s.submit(b, join("again"))
	})
}

// After the log dropped the last checkpoint by age, it is written again although
// there are no new records, so that a process that starts without peers finds one.
func TestRetentionPassesEveryCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{Age: time.Minute})
		a, b := s.start("a"), s.start("b")
		s.submit(a, join("a"))
		s.submit(b, join("b"))
		s.submit(a, publish(0))
		a.log.Down()
		b.log.Down()
		time.Sleep(3 * time.Minute)
		first, end := s.store.Bounds()
		s.g.Expect(first).To(gomega.Equal(end), "the log is empty")
		a.log.Heal()
		b.log.Heal()
		time.Sleep(10 * time.Second)
		c := s.start("c", alone)
		s.sameState(a, b, c)
		s.g.Expect(c.View().SiteVersion()).To(gomega.Equal(uint64(1)))
		s.g.Expect(c.View().Lineage()).To(gomega.BeZero())
	})
}

func TestOneNodeWritesEachCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		s.every = 20
		names := []string{"a", "b", "c"}
		var members []*member
		for _, name := range names {
			members = append(members, s.start(name))
		}
		for i, name := range names {
			s.submit(members[i], join(name))
		}
		for range 200 {
			s.submit(members[0], join("x"))
			time.Sleep(200 * time.Millisecond)
		}
		writers, written := s.checkpoints()
		s.g.Expect(written).To(gomega.BeNumerically("~", 200/20, 2))
		s.g.Expect(len(writers)).To(gomega.BeNumerically(">", 1), "the work is spread")

		// Two of three nodes are stopped but still listed in the state: the third
		// takes over after a delay.
		members[1].Stop()
		members[2].Stop()
		for range 200 {
			s.submit(members[0], join("x"))
			time.Sleep(200 * time.Millisecond)
		}
		_, after := s.checkpoints()
		s.g.Expect(after - written).To(gomega.BeNumerically(">=", 200/20/3-1))
	})
}

// checkpoints returns the number of complete checkpoints in the store and their
// writers.
func (s *site) checkpoints() (writers map[string]bool, total int) {
	writers = map[string]bool{}
	for _, rec := range s.records() {
		if chunk := rec.GetCheckpointChunk(); chunk != nil && chunk.GetIndex()+1 == chunk.GetCount() {
			writers[rec.GetWriter()] = true
			total++
		}
	}
	return writers, total
}

// A process that starts far behind reads a checkpoint and the records after it
// instead of the whole log.
func TestStartReadsFromTheCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		for i := range 20_000 {
			s.put("x@b1", uint64(i+1), join("x"))
		}
		s.putCheckpoint(s.replayed(), "c1", intact)
		s.put("y@b1", 1, join("y"))
		counted := &entryCounter{inner: s.store}
		a := s.start("a", func(c *follower.Config, _ *logfault.Log) {
			c.Log = counted
			c.CheckpointEvery = 100
			c.Peers = nil
		})
		time.Sleep(settle)
		s.g.Expect(hasNode(a, "y")).To(gomega.BeTrue())
		s.g.Expect(counted.entries.Load()).To(gomega.BeNumerically("<", 2000))
	})
}

func TestWriterSurvivesRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, memlog.Retention{})
		s.put("x@b1", 1, join("x"))
		restored, err := state.Restore(s.replayed().Snapshot())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(restored.LastSequence("x@b1")).To(gomega.Equal(uint64(1)))
	})
}
