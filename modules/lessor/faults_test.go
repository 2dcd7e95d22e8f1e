package lessor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// served is the aim: a shard is served again within this time of a loss.
const served = 3 * time.Second

// rest is how long a site stays as it is before a fault and after it.
const rest = 2 * time.Second

// serversPerZone is how many backend servers each zone has.
const serversPerZone = 3

var threeZones = []string{"a", "b", "c"}

// run starts a site, waits until it rests, and runs a scenario.
func run(t *testing.T, zones []string, nodes int, limit time.Duration, scenario func(w *world, g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, zones, nodes, limit)
		w.until(start, "every shard served", w.allServed)
		for _, zone := range zones {
			w.until(start, "standby lessor", func() bool { return w.standby(topo.GroupID(zone+"/0")) != nil })
		}
		time.Sleep(rest)
		w.reset()
		scenario(w, NewWithT(t))
	})
}

func TestFrozenServerThatReturnsIsNoOwner(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		w.servers["sa1"].setDown(false)
		time.Sleep(rest)
		for shard := range lost {
			g.Expect(w.owners()).To(HaveKeyWithValue(shard, Not(Equal(topo.ServerID("sa1")))))
		}
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
	})
}

func TestRestartedServerGetsNewFences(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		before := w.fences()
		lost := w.shardsOn("sa1")
		w.servers["sa1"].restart()
		time.Sleep(rest)
		g.Expect(w.allServed()).To(BeTrue())
		for shard := range lost {
			g.Expect(before[shard].Less(w.fences()[shard])).To(BeTrue(), shard.String())
		}
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
		g.Expect(w.gaps(func(id topo.ShardID) bool { return !lost[id] })).To(BeZero())
	})
}

func TestLessorAndServerLostAtOnce(t *testing.T) {
	run(t, oneZone, 3, limit, func(w *world, g *WithT) {
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		w.lessorOfA().kill()
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
		g.Expect(w.gaps(func(id topo.ShardID) bool { return !lost[id] })).To(BeZero())
	})
}

func TestLessorAndStandbyLessorLostAtOnce(t *testing.T) {
	for _, limit := range []time.Duration{0, limit, siteconfig.Forever} {
		run(t, oneZone, 4, limit, func(w *world, g *WithT) {
			w.lessorOfA().kill()
			w.standby("a/0").kill()
			time.Sleep(5 * time.Second)
			g.Expect(w.allServed()).To(BeTrue())
			t.Logf("limit %v: gap %v", limit, w.gaps(nil))
			g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
		})
	}
}

func TestBothLessorsAndAServerLost(t *testing.T) {
	const limit = 20 * time.Second
	run(t, oneZone, 4, limit, func(w *world, g *WithT) {
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		took := w.until(limit+5*time.Second, "every shard served", func() bool { return len(w.serving()) == shardCount })
		t.Logf("served after %v, others' gap %v", took, w.gaps(func(id topo.ShardID) bool { return !lost[id] }))
		g.Expect(took).To(BeNumerically(">=", limit))
	})
}

func TestConfirmedLossShortensTheWait(t *testing.T) {
	run(t, oneZone, 4, siteconfig.Forever, func(w *world, g *WithT) {
		w.servers["sa1"].setDown(true)
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		time.Sleep(5 * time.Second)
		g.Expect(len(w.serving())).To(BeNumerically("<", shardCount))
		w.anyNode().submit(&bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
			Servers: []string{"sa1"}, Source: "operator",
		}}})
		took := w.until(served, "every shard served", func() bool { return len(w.serving()) == shardCount })
		t.Logf("served %v after the confirmation", took)
	})
}

func TestPausedLessorDoesNoHarm(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		run(t, oneZone, 3, limit, func(w *world, g *WithT) {
			old := w.lessorOfA()
			old.pause()
			time.Sleep(pause)
			old.resume()
			time.Sleep(rest)
			g.Expect(w.allServed()).To(BeTrue())
			t.Logf("pause %v: gap %v", pause, w.gaps(nil))
			g.Expect(w.gaps(nil)).To(BeZero())
		})
	}
}

func TestRestartedLessorLeavesNoGap(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.lessorOfA().restart(2)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestGracefulLeaveLeavesNoGap(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		old := w.lessorOfA()
		began := time.Now()
		g.Expect(old.module.Drain(context.Background())).To(Succeed())
		took := time.Since(began)
		g.Expect(old.module.MayRenew("a/0")).To(BeFalse())
		g.Expect(took).To(BeNumerically("<", time.Second))
		time.Sleep(rest)
		g.Expect(w.lessorOfA()).NotTo(BeNil())
		t.Logf("handed over after %v", took)
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestDrainingServerGivesItsShardsUp(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.servers["sa1"].setDraining()
		took := w.until(served, "no shard on the draining server", func() bool {
			return len(w.shardsOn("sa1")) == 0 && w.allServed()
		})
		t.Logf("drained after %v, gap %v", took, w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestListedAsDrainingGivesItsShardsUp(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.listServer("sa1", bspb.ServerPhase_SERVER_PHASE_DRAINING)
		w.until(served, "no shard on the draining server", func() bool {
			return len(w.shardsOn("sa1")) == 0 && w.allServed()
		})
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestServerListedAsGoneThatStillAnswersIsNotCutOff(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.listServer("sa1", bspb.ServerPhase_SERVER_PHASE_GONE)
		w.until(served, "no shard on the listed server", func() bool {
			return len(w.shardsOn("sa1")) == 0 && w.allServed()
		})
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestServerListedAsGoneThatIsSilentIsReplacedAtOnce(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.servers["sa1"].stop()
		w.listServer("sa1", bspb.ServerPhase_SERVER_PHASE_GONE)
		time.Sleep(rest)
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 500*time.Millisecond))
	})
}

func TestLogAwayWithDisconnectedTimeLeft(t *testing.T) {
	run(t, threeZones, 2, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(30 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestLogAwayPastTheLimit(t *testing.T) {
	const limit = 5 * time.Second
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(limit - 500*time.Millisecond)
		g.Expect(w.allServed()).To(BeTrue())
		time.Sleep(2 * time.Second)
		g.Expect(w.owners()).To(BeEmpty())
		w.logDown(false)
		took := w.until(5*time.Second, "every shard served", w.allServed)
		t.Logf("served again %v after the log came back", took)
	})
}

func TestLessorLostWhileTheLogIsAway(t *testing.T) {
	run(t, oneZone, 3, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(5 * time.Second)
		w.lessorOfA().kill()
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeZero())
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.gaps(nil)).To(BeZero())
		w.until(5*time.Second, "a standby lessor again", func() bool { return w.standby("a/0") != nil })
	})
}

func TestLessorLostSoonAfterTheLogFails(t *testing.T) {
	run(t, oneZone, 3, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(500 * time.Millisecond)
		w.lessorOfA().kill()
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue(), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
	})
}

func TestServerLostWhileTheLogIsAway(t *testing.T) {
	run(t, oneZone, 3, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(5 * time.Second)
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(w.serving()).To(HaveLen(shardCount), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
		before := w.owners()
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.gaps(func(id topo.ShardID) bool { return !lost[id] })).To(BeZero())
		for shard := range lost {
			assignment, _ := w.view().Shard(shard)
			g.Expect(assignment.Owner).To(Equal(before[shard]), "the activated server is recorded as the owner")
			g.Expect(w.owners()).To(HaveKeyWithValue(shard, before[shard]))
		}
	})
}

func TestServerAndThenLessorLostWhileTheLogIsAway(t *testing.T) {
	run(t, oneZone, 3, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(5 * time.Second)
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		before := w.owners()
		w.reset()
		w.lessorOfA().kill()
		time.Sleep(5 * time.Second)
		g.Expect(w.owners()).To(Equal(before))
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.owners()).To(Equal(before))
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestZoneCutOff(t *testing.T) {
	for _, limit := range []time.Duration{0, 20 * time.Second, siteconfig.Forever} {
		run(t, threeZones, 2, limit, func(w *world, g *WithT) {
			inside := w.shardsInA()
			outside := func(id topo.ShardID) bool { return !inside[id] }
			w.cutA(true)
			switch limit {
			case 0:
				time.Sleep(5 * time.Second)
				g.Expect(w.shardsInA()).To(BeEmpty())
				t.Logf("limit 0: gap %v", w.gaps(nil))
				g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
			case siteconfig.Forever:
				time.Sleep(10 * time.Minute)
				g.Expect(w.shardsInA()).To(Equal(inside))
				g.Expect(w.gaps(nil)).To(BeZero())
			default:
				time.Sleep(limit - time.Second)
				g.Expect(w.shardsInA()).To(Equal(inside))
				g.Expect(w.gaps(nil)).To(BeZero())
				took := w.until(5*time.Second, "others took over", func() bool { return len(w.shardsInA()) == 0 && w.allServed() })
				t.Logf("limit %v: gap %v, others took over %v after the cut", limit, w.gaps(nil), limit-time.Second+took)
				g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
			}
			g.Expect(w.gaps(outside)).To(BeZero())
			w.cutA(false)
			time.Sleep(10 * time.Second)
			g.Expect(w.allServed()).To(BeTrue())
			w.until(time.Minute, "a lessor of the zone itself", func() bool {
				n := w.lessorOfA()
				return n != nil && n.zone == "a"
			})
		})
	}
}

func TestZoneCutOffHealsBeforeTheLimit(t *testing.T) {
	run(t, threeZones, 2, limit, func(w *world, g *WithT) {
		w.cutA(true)
		time.Sleep(time.Minute)
		w.cutA(false)
		time.Sleep(time.Minute)
		g.Expect(w.allServed()).To(BeTrue())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestLessorCutOffFromItsServersAlone(t *testing.T) {
	run(t, oneZone, 3, limit, func(w *world, g *WithT) {
		w.lessorOfA().cutServers(true, "sa1", "sa2", "sa3")
		time.Sleep(10 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
	})
}

func TestOneUnansweredRenewalMovesNothing(t *testing.T) {
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		before := w.fences()
		w.servers["sa1"].setDown(true)
		time.Sleep(200 * time.Millisecond)
		w.servers["sa1"].setDown(false)
		time.Sleep(rest)
		g.Expect(w.fences()).To(Equal(before))
	})
}

func TestEveryServerOfAZoneLost(t *testing.T) {
	run(t, threeZones, 2, limit, func(w *world, g *WithT) {
		for _, id := range []topo.ServerID{"sa1", "sa2", "sa3"} {
			w.servers[id].setDown(true)
		}
		time.Sleep(5 * time.Second)
		g.Expect(w.serving()).To(HaveLen(shardCount), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", served))
	})
}
