package lessor

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var firstShard = topo.ShardID{Service: "wells"}

// keyOfFirstShard returns a key whose hash range is the first shard.
func keyOfFirstShard() string {
	for i := 0; ; i++ {
		if key := strconv.Itoa(i); topo.ShardIndex(key, shardCount) == 0 {
			return key
		}
	}
}

func TestPlannedMoveWaitsForRunsInFlight(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		to := w.uninvolvedServer(firstShard)
		end, err := w.begin(firstShard, keyOfFirstShard())
		g.Expect(err).NotTo(HaveOccurred())
		move := w.currentMove(firstShard)
		move.To = string(to)
		g.Expect(w.move(move)).To(BeEquivalentTo(1))
		g.Expect(w.move(move)).To(BeEquivalentTo(0), "it is in progress")
		time.Sleep(3 * time.Second)
		assignment, _ := w.view().Shard(firstShard)
		g.Expect(assignment.Owner).NotTo(Equal(to), "a run is in flight")
		end()
		w.waitFor(time.Second, "moved", func() bool { return w.owners()[firstShard] == to })
		moved := func(id topo.ShardID) bool { return id != firstShard }
		g.Expect(w.gaps(moved)).To(BeZero())
	})
}

func TestPlannedMoveWithoutRunsIsQuick(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		move := w.currentMove(firstShard)
		move.To = string(w.uninvolvedServer(firstShard))
		g.Expect(w.move(move)).To(BeEquivalentTo(1))
		w.waitFor(time.Second, "moved", func() bool { return string(w.owners()[firstShard]) == move.To })
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<=", 50*time.Millisecond))
	})
}

func TestMoveOfAnOldFenceIsRefused(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		move := w.currentMove(firstShard)
		move.To = string(w.uninvolvedServer(firstShard))
		move.Fence.Offset--
		g.Expect(w.move(move)).To(BeEquivalentTo(0))
	})
}

func TestHotKeyIsSplitOutAndMergedBack(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		owner := w.owners()[firstShard]
		split := firstShard
		split.Key = keyOfFirstShard()
		end, err := w.begin(firstShard, split.Key)
		g.Expect(err).NotTo(HaveOccurred())
		move := w.currentMove(firstShard)
		move.Shard = shardToProto(split)
		move.To = string(w.uninvolvedServer(firstShard))
		g.Expect(w.move(move)).To(BeEquivalentTo(1))
		time.Sleep(time.Second)
		_, err = w.begin(firstShard, split.Key)
		g.Expect(err).To(HaveOccurred(), "the range's owner refuses the key")
		_, exists := w.view().Shard(split)
		g.Expect(exists).To(BeFalse(), "a run is in flight")
		end()
		w.waitFor(time.Second, "split out", func() bool { return string(w.owners()[split]) == move.To })
		g.Expect(w.owners()).To(HaveKeyWithValue(firstShard, owner))
		g.Expect(w.gaps(nil)).To(BeZero(), "the rest of the range is served all the time")

		back := w.currentMove(split)
		back.To, back.Merge = string(owner), true
		g.Expect(w.move(back)).To(BeEquivalentTo(1))
		w.waitFor(time.Second, "moved back", func() bool { return w.owners()[split] == owner })
		merge := w.currentMove(split)
		merge.To, merge.Merge = string(owner), true
		w.waitFor(time.Second, "merge taken", func() bool { return w.move(merge) == 1 })
		w.waitFor(time.Second, "merged", func() bool { _, still := w.view().Shard(split); return !still })
		// The record is applied before the owner has the grant that follows from it.
		w.waitFor(time.Second, "the range's owner runs the key", func() bool {
			end, err = w.begin(firstShard, split.Key)
			return err == nil
		})
		end()
	})
}

func TestLostResponseToAnAssignment(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		log := w.lessorOfA().log
		log.mu.Lock()
		log.loseResponses = 2
		log.mu.Unlock()
		w.servers["sa1"].setDown(true)
		w.waitFor(recoveryTime, "every shard served", func() bool { return len(w.serving()) == shardCount })
	})
}

func TestUnresponsiveServerThatDoesNotCheckFencing(t *testing.T) {
	unfenced := func(s *siteconfig.Service) { s.ChecksFencing = false }
	accepted := func(s *siteconfig.Service) { s.ChecksFencing, s.AcceptUnfencedTakeover = false, true }
	for _, row := range []struct {
		name     string
		change   func(*siteconfig.Service)
		replaced bool
	}{
		{"is not replaced", unfenced, false},
		{"is replaced where the operator accepts the risk", accepted, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
				w.anyNode().submit(siteRecord(1, defaultLimit, row.change))
				lost := w.shardsOn("sa1")
				w.servers["sa1"].setDown(true)
				time.Sleep(10 * time.Second)
				for shard := range lost {
					_, served := w.serving()[shard]
					g.Expect(served).To(Equal(row.replaced), shard.String())
				}
			})
		})
	}
}

// A new lessor has no information about an unresponsive server that does not check
// fencing. The server may continue to serve without a lease.
func TestNewLessorAndAnUnresponsiveServerThatDoesNotCheckFencing(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		run(t, oneZone, 4, 0, func(w *world, g *WithT) {
			w.anyNode().submit(siteRecord(1, 0, func(s *siteconfig.Service) {
				s.ChecksFencing, s.AcceptUnfencedTakeover = false, accepted
			}))
			time.Sleep(settleTime)
			lost := w.shardsOn("sa1", "sa2")
			w.servers["sa1"].setDown(true)
			w.servers["sa2"].setDown(true)
			w.lessorOfA().kill()
			w.standby("a/0").kill()
			time.Sleep(20 * time.Second)
			for shard := range lost {
				assignment, _ := w.view().Shard(shard)
				g.Expect(assignment.Owner == "sa3").To(Equal(accepted), "accepted %v: %s", accepted, shard)
			}
		})
	}
}

func TestRetiredServiceIsReleased(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		w.anyNode().submit(emptySiteRecord(1))
		w.waitFor(time.Second, "release taken", func() bool { return w.move(w.currentMove(firstShard)) == 1 })
		w.waitFor(time.Second, "released", func() bool { _, owned := w.owners()[firstShard]; return !owned })
		g.Expect(w.owners()).To(HaveLen(shardCount-1), "the others are served until they are released")
	})
}

func TestZoneThatLostAServerWhileCutOffIsServedSoonAfterHealing(t *testing.T) {
	run(t, threeZones, 2, defaultLimit, func(w *world, g *WithT) {
		w.cutA(true)
		time.Sleep(5 * time.Second)
		w.servers["sa1"].setDown(true)
		time.Sleep(20 * time.Second)
		w.cutA(false)
		took := w.waitFor(30*time.Second, "every shard served", func() bool { return len(w.serving()) == shardCount })
		t.Logf("every shard served %v after healing", took)
		time.Sleep(5 * time.Second)
		g.Expect(w.serving()).To(HaveLen(shardCount))
	})
}

func TestServerLostWhenItsZoneHealsIsReplacedAfterThePreviousLessorsReport(t *testing.T) {
	run(t, threeZones, 2, defaultLimit, func(w *world, g *WithT) {
		w.cutA(true)
		time.Sleep(25 * time.Second)
		w.reset()
		w.servers["sa1"].setDown(true)
		w.cutA(false)
		time.Sleep(10 * time.Second)
		g.Expect(w.serving()).To(HaveLen(shardCount), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 2*recoveryTime))
	})
}

func TestActivatedServerContinuesWhenBothLessorsAreLost(t *testing.T) {
	run(t, oneZone, 4, defaultLimit, func(w *world, g *WithT) {
		lost := w.shardsOn("sa1")
		w.logDown(true)
		time.Sleep(5 * time.Second)
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		activated := w.owners()
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		w.logDown(false)
		time.Sleep(10 * time.Second)
		for shard := range lost {
			g.Expect(w.serving()).To(HaveKeyWithValue(shard, activated[shard]))
		}
	})
}

// move asks zone a's lessor for one planned move and returns how many it accepted.
func (w *world) move(move *bspb.ShardMove) uint32 {
	req := &bspb.MoveRequest{Group: "a/0", Moves: []*bspb.ShardMove{move}, Reason: "test"}
	answer, err := w.lessorOfA().module.serveMove(context.Background(), req)
	if err != nil {
		w.t.Fatal(err)
	}
	return answer.Accepted
}

// currentMove returns a move that refers to the current assignment of a shard.
func (w *world) currentMove(id topo.ShardID) *bspb.ShardMove {
	assignment, _ := w.view().Shard(id)
	return &bspb.ShardMove{Shard: shardToProto(id), Fence: ordinalToProto(assignment.Fence.Ordinal)}
}

// uninvolvedServer returns a server of zone a that is neither the owner nor the standby of a
// shard.
func (w *world) uninvolvedServer(id topo.ShardID) topo.ServerID {
	assignment, _ := w.view().Shard(id)
	for _, server := range []topo.ServerID{"sa1", "sa2", "sa3"} {
		if server != assignment.Owner && server != assignment.Standby {
			return server
		}
	}
	return ""
}

// begin starts a run of a key at the server that serves its shard.
func (w *world) begin(id topo.ShardID, key string) (end func(), err error) {
	s := w.servers[w.owners()[id]]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	fence := topo.Fence{}
	for _, held := range s.holder.Grants() {
		if held.Shard == id {
			fence = held.Fence
		}
	}
	run, err := s.holder.Begin(now, id, fence, key)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder.End(run)
	}, err
}

// emptySiteRecord publishes a site configuration without services.
func emptySiteRecord(base uint64) *bspb.Record {
	site := &siteconfig.Site{GroupsPerZone: 1, TrustVMList: true}
	return &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base: base, Text: []byte("{}"), Compiled: siteconfig.ToProto(site),
	}}}
}
