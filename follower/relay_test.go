package follower_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// leaseTTL is the lease TTL for the default PollWait. A lessor whose contact is
	// older may not renew.
	leaseTTL = 5 * follower.DefaultPollWait
	// maxContactAge is the documented bound while one or two sources fail, see
	// docs/design/log-and-state.md.
	maxContactAge = 9 * follower.DefaultPollWait / 2
	// relayReturnWait is long enough for nodes to return to a relay that failed.
	relayReturnWait = 3 * time.Minute
)

// relayedSite starts nodes that share relays, and waits until they use them.
func relayedSite(t *testing.T, relays int, names ...string) (*site, map[topo.NodeID]*member) {
	t.Helper()
	s := newSite(t, memlog.Retention{})
	s.relays = relays
	members := map[topo.NodeID]*member{}
	for _, name := range names {
		members[topo.NodeID(name)] = s.start(name)
	}
	for _, name := range names {
		s.submit(members[topo.NodeID(name)], join(name))
	}
	time.Sleep(settle)
	return s, members
}

func source(m *member) topo.NodeID { return topo.NodeID(m.Dump(time.Now()).Source) }

// split returns the nodes that read the log and those that read through a relay.
func split(members map[topo.NodeID]*member) (readers, followers []topo.NodeID) {
	for id, m := range members {
		if source(m) == "log" {
			readers = append(readers, id)
		} else {
			followers = append(followers, id)
		}
	}
	return readers, followers
}

// oldestContact samples a node's contact over span and returns its maximum age.
func oldestContact(m *member, span time.Duration) time.Duration {
	var age time.Duration
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(7 * time.Millisecond) {
		age = max(age, time.Since(m.LastContact()))
	}
	return age
}

func TestOnlyRelaysReadTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, members := relayedSite(t, 2, "a", "b", "c", "d", "e", "f")
		readers, followers := split(members)
		s.g.Expect(readers).To(gomega.HaveLen(2))
		s.g.Expect(followers).To(gomega.HaveLen(4))
		for _, m := range members {
			s.g.Expect(m.Dump(time.Now()).Relays).To(gomega.ConsistOf(string(readers[0]), string(readers[1])))
		}
		before := map[topo.NodeID]int64{}
		for id, m := range members {
			before[id] = m.reads.Load()
		}
		for _, id := range followers {
			// The same bound as for reading the log directly.
			s.g.Expect(oldestContact(members[id], 10*time.Second)).To(gomega.BeNumerically("<=", 2*follower.DefaultPollWait+10*time.Millisecond))
		}
		for _, id := range followers {
			s.g.Expect(members[id].reads.Load()).To(gomega.Equal(before[id]), string(id))
		}
		for _, id := range readers {
			s.g.Expect(members[id].reads.Load()).To(gomega.BeNumerically(">", before[id]+100), string(id))
		}
		// A record reaches followers when it reaches their relay.
		outcome := s.submit(members[followers[0]], join("x"))
		for _, m := range members {
			s.g.Expect(m.WaitApplied(s.within(time.Millisecond), outcome.Offset)).To(gomega.Succeed())
		}
	})
}

// A starting node reads the log, because its view lists no relays yet, even if it
// can reach no relay of its zone.
func TestAStartingNodeReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, members := relayedSite(t, 1, "a", "b")
		relay, _ := split(members)
		started := s.start("c", func(*follower.Config, *logfault.Log) { s.network.Isolate("c") })
		s.submit(started, join("c"))
		time.Sleep(settle) // contact is renewed after the record is applied
		s.g.Expect(oldestContact(started, 2*settle)).To(gomega.BeNumerically("<", leaseTTL))
		s.g.Expect(started.reads.Load()).To(gomega.BeNumerically(">", 10))
		s.network.Heal()
		time.Sleep(relayReturnWait)
		_, followers := split(members)
		s.g.Expect(followers).To(gomega.HaveLen(1))
		s.g.Expect(source(started) == "log" || source(started) == relay[0] || len(relay) > 1).To(gomega.BeTrue())
	})
}

// While a relay fails, the nodes that read through it keep contact recent enough
// to renew leases, continue to apply records, and return to the relay afterwards.
func TestRelayFailure(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *site, id topo.NodeID, relay *member)
	}{
		{"lost", func(s *site, id topo.NodeID, _ *member) { s.network.Leave(id) }},
		{"cut off from its zone", func(s *site, id topo.NodeID, _ *member) { s.network.Isolate(id) }},
		{"paused", func(s *site, id topo.NodeID, relay *member) { s.network.Pause(id); relay.log.Down() }},
		{"cut off from the log", func(_ *site, _ topo.NodeID, relay *member) { relay.log.Down() }},
		{"log unresponsive for it", func(_ *site, _ topo.NodeID, relay *member) { relay.log.Set(logfault.Faults{Unresponsive: true}) }},
		{"log slow for it", func(_ *site, _ topo.NodeID, relay *member) { relay.log.Set(logfault.Faults{Slow: 2 * time.Second}) }},
		{"slow", func(s *site, id topo.NodeID, _ *member) {
			for _, other := range []topo.NodeID{"a", "b", "c", "d", "e"} {
				s.network.Set(id, other, peermem.Fault{Delay: time.Second})
			}
		}},
		{"connected only to its followers", func(s *site, id topo.NodeID, relay *member) {
			relay.log.Down()
			s.network.Cut(id, "z")
		}},
	}
	for _, c := range cases {
		for _, failing := range []int{1, 2} {
			t.Run(c.name+map[int]string{1: "", 2: ", both relays"}[failing], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, members := relayedSite(t, 2, "a", "b", "c", "d", "e")
					readers, followers := split(members)
					watched := members[followers[0]]
					first := source(watched)
					for _, id := range readers {
						if failing == 2 || id == first {
							c.fault(s, id, members[id])
						}
					}
					go func() {
						time.Sleep(time.Second)
						rec := join("meanwhile")
						rec.GetJoinNode().Zone = "zone-elsewhere" // keeps the relay order of the zone
						s.submit(members[followers[1]], rec)
					}()
					s.g.Expect(oldestContact(watched, 30*time.Second)).To(gomega.BeNumerically("<=", maxContactAge))
					s.g.Expect(hasNode(watched, "meanwhile")).To(gomega.BeTrue())
					s.network.Heal()
					s.network.Resume(readers[0])
					s.network.Resume(readers[1])
					members[readers[0]].log.Heal()
					members[readers[1]].log.Heal()
					if c.name != "lost" {
						time.Sleep(relayReturnWait)
						s.g.Expect(source(watched)).To(gomega.Equal(first))
					}
				})
			})
		}
	}
}

// Nodes with different views may read through each other. That renews no contact,
// so both read the log.
func TestCircularFollowingRenewsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		s.relays = 1
		// In each node's view, the other node is the only one of its zone.
		a := s.start("a", func(c *follower.Config, _ *logfault.Log) { c.Zone = "zone-of-b" })
		b := s.start("b", func(c *follower.Config, _ *logfault.Log) { c.Zone = "zone-of-a" })
		for _, name := range []string{"a", "b"} {
			rec := join(name)
			rec.GetJoinNode().Zone = "zone-of-" + name
			s.submit(a, rec)
		}
		time.Sleep(settle)
		for _, m := range []*member{a, b} {
			s.g.Expect(oldestContact(m, time.Minute)).To(gomega.BeNumerically("<=", maxContactAge))
		}
		// One node may read through the other while the other reads the log.
		s.g.Expect(a.reads.Load() + b.reads.Load()).To(gomega.BeNumerically(">", 200))
	})
}

// A stopped follower rejects reads of nodes that follow it, because its state no
// longer advances and it cannot hold a read open.
func TestAStoppedRelayIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, members := relayedSite(t, 1, "a", "b", "c")
		readers, followers := split(members)
		members[readers[0]].Stop()
		s.g.Expect(oldestContact(members[followers[0]], settle)).To(gomega.BeNumerically("<=", maxContactAge))
		s.g.Expect(source(members[followers[0]])).To(gomega.Equal(topo.NodeID("log")))
	})
}

// A log that is slow for all nodes is still read only by the relays, because
// reads by all nodes would slow it down further.
func TestASlowLogKeepsItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, members := relayedSite(t, 2, "a", "b", "c", "d", "e", "f")
		readers, followers := split(members)
		for _, m := range members {
			m.log.Set(logfault.Faults{Slow: 500 * time.Millisecond})
		}
		time.Sleep(settle)
		before := map[topo.NodeID]int64{}
		for id, m := range members {
			before[id] = m.reads.Load()
		}
		time.Sleep(time.Minute)
		for _, id := range followers {
			mine, relays := members[id].reads.Load()-before[id], members[readers[0]].reads.Load()-before[readers[0]]
			s.g.Expect(mine).To(gomega.BeNumerically("<", relays/2), string(id))
		}
		outcome := s.submit(members[readers[0]], join("x"))
		for _, m := range members {
			s.g.Expect(m.WaitApplied(s.within(settle), outcome.Offset)).To(gomega.Succeed())
		}
	})
}

// A relay that does not report its contact, as an older release, is not used.
func TestRelayThatReportsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		s.relays = 1
		old := &peer.Handlers{}
		old.ReadLog = func(context.Context, *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error) {
			return &bspb.ReadLogResponse{Applied: 1}, nil
		}
		s.network.Join(&bspb.Sender{Node: "a", Boot: "b1", Zone: "zone-a"}, old)
		var lines bytes.Buffer
		b := s.start("b", func(c *follower.Config, _ *logfault.Log) {
			c.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines})
		})
		s.submit(b, join("a"))
		time.Sleep(settle) // contact is renewed after the record is applied
		s.g.Expect(oldestContact(b, time.Minute)).To(gomega.BeNumerically("<=", maxContactAge))
		s.g.Expect(b.reads.Load()).To(gomega.BeNumerically(">", 50))
		b.Stop()
		s.g.Expect(lines.String()).To(gomega.ContainSubstring("event=1216"))
	})
}

// Checkpoints, retention and a rebase reach nodes that read through a relay.
func TestRecordsExpiredForASiteWithRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, members := relayedSite(t, 2, "a", "b", "c", "d")
		all := []*member{members["a"], members["b"], members["c"], members["d"]}
		for _, id := range []topo.NodeID{"a", "b", "c", "d"} {
			s.network.Isolate(id)
		}
		s.expireForAll(all...)
		s.network.Heal()
		time.Sleep(rebaseWait)
		s.sameState(all...)
		s.g.Expect(s.rebases()).To(gomega.BeNumerically(">=", 1))
		s.g.Expect(hasNode(all[0], "kept")).To(gomega.BeTrue())
		time.Sleep(relayReturnWait)
		_, followers := split(members)
		s.g.Expect(len(followers)).To(gomega.BeNumerically(">=", 2))
		s.submit(members[followers[0]], join("after"))
		s.sameState(all...)
	})
}

// A disconnected node whose next records are neither retained by the log nor among
// its relay's recent entries recovers from a checkpoint.
func TestFollowerOfARelayThatLacksItsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, members := relayedSite(t, 1, "a", "b", "c")
		_, followers := split(members)
		away := members[followers[0]]
		away.log.Down()
		s.network.Isolate(followers[0])
		for i := range 4500 {
			s.put("y@b1", uint64(i+1), join("y"))
		}
		time.Sleep(settle)
		_, end := s.store.Bounds()
		s.store.Truncate(end - 100)
		time.Sleep(2 * settle)
		away.log.Heal()
		s.network.Heal()
		time.Sleep(relayReturnWait)
		s.sameState(members["a"], members["b"], members["c"])
		s.g.Expect(source(away)).NotTo(gomega.Equal(topo.NodeID("log")))
	})
}
