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

// recoveryTime is the longest time until a shard is served again after a loss.
const recoveryTime = 3 * time.Second

// settleTime is how long a scenario leaves the site unchanged before and after a fault.
const settleTime = 2 * time.Second

// serversPerZone is how many backend servers each zone has.
const serversPerZone = 3

var threeZones = []string{"a", "b", "c"}

// run starts a site, waits until it is stable, and runs a scenario.
func run(t *testing.T, zones []string, nodes int, limit time.Duration, scenario func(w *world, g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, zones, nodes, limit)
		w.waitFor(startupTime, "every shard served", w.allServed)
		for _, zone := range zones {
			w.waitFor(startupTime, "standby lessor", func() bool { return w.standby(topo.GroupID(zone+"/0")) != nil })
		}
		time.Sleep(settleTime)
		w.reset()
		scenario(w, NewWithT(t))
	})
}

func TestFrozenServerIsNotAnOwnerAfterItsReturn(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		w.servers["sa1"].setDown(false)
		time.Sleep(settleTime)
		for shard := range lost {
			g.Expect(w.owners()).To(HaveKeyWithValue(shard, Not(Equal(topo.ServerID("sa1")))))
		}
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
	})
}

func TestRestartedServerGetsNewFences(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		before := w.fences()
		lost := w.shardsOn("sa1")
		w.servers["sa1"].restart()
		time.Sleep(settleTime)
		g.Expect(w.allServed()).To(BeTrue())
		for shard := range lost {
			g.Expect(before[shard].Less(w.fences()[shard])).To(BeTrue(), shard.String())
		}
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
		g.Expect(w.gaps(func(id topo.ShardID) bool { return !lost[id] })).To(BeZero())
	})
}

func TestLessorAndServerLostAtOnce(t *testing.T) {
	run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		w.lessorOfA().kill()
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
		g.Expect(w.gaps(func(id topo.ShardID) bool { return !lost[id] })).To(BeZero())
	})
}

func TestLessorAndStandbyLessorLostAtOnce(t *testing.T) {
	for _, limit := range []time.Duration{0, defaultLimit, siteconfig.Forever} {
		run(t, oneZone, 4, limit, func(w *world, g *WithT) {
			w.lessorOfA().kill()
			w.standby("a/0").kill()
			time.Sleep(5 * time.Second)
			g.Expect(w.allServed()).To(BeTrue())
			t.Logf("limit %v: gap %v", limit, w.gaps(nil))
			g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
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
		took := w.waitFor(limit+5*time.Second, "every shard served", func() bool { return len(w.serving()) == shardCount })
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
		took := w.waitFor(recoveryTime, "every shard served", func() bool { return len(w.serving()) == shardCount })
		t.Logf("served %v after the confirmation", took)
	})
}

func TestPausedLessorLeavesNoGap(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
			old := w.lessorOfA()
			old.pause()
			time.Sleep(pause)
			old.resume()
			time.Sleep(settleTime)
			g.Expect(w.allServed()).To(BeTrue())
			t.Logf("pause %v: gap %v", pause, w.gaps(nil))
			g.Expect(w.gaps(nil)).To(BeZero())
		})
	}
}

func TestRestartedLessorLeavesNoGap(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		w.lessorOfA().restart(2)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestDrainedLessorLeavesNoGap(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		old := w.lessorOfA()
		began := time.Now()
		g.Expect(old.module.Drain(context.Background())).To(Succeed())
		took := time.Since(began)
		g.Expect(old.module.MayRenew("a/0")).To(BeFalse())
		g.Expect(took).To(BeNumerically("<", time.Second))
		time.Sleep(settleTime)
		g.Expect(w.lessorOfA()).NotTo(BeNil())
		t.Logf("handed over after %v", took)
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestDrainingServerReleasesItsShards(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		w.servers["sa1"].setDraining()
		took := w.waitFor(recoveryTime, "no shard on the draining server", func() bool {
			return len(w.shardsOn("sa1")) == 0 && w.allServed()
		})
		t.Logf("drained after %v, gap %v", took, w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestServerListedAsDrainingReleasesItsShards(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		w.listServer("sa1", bspb.ServerPhase_SERVER_PHASE_DRAINING)
		w.waitFor(recoveryTime, "no shard on the draining server", func() bool {
			return len(w.shardsOn("sa1")) == 0 && w.allServed()
		})
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestServerListedAsGoneThatStillAnswersIsNotCutOff(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		w.listServer("sa1", bspb.ServerPhase_SERVER_PHASE_GONE)
		w.waitFor(recoveryTime, "no shard on the listed server", func() bool {
			return len(w.shardsOn("sa1")) == 0 && w.allServed()
		})
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestUnresponsiveServerListedAsGoneIsReplacedAtOnce(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		w.servers["sa1"].stop()
		w.listServer("sa1", bspb.ServerPhase_SERVER_PHASE_GONE)
		time.Sleep(settleTime)
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 500*time.Millisecond))
	})
}

func TestLogUnavailableWithDisconnectedTimeLeft(t *testing.T) {
	run(t, threeZones, 2, defaultLimit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(30 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.gaps(nil)).To(BeZero())
	})
}

func TestLogUnavailablePastTheLimit(t *testing.T) {
	const limit = 5 * time.Second
	run(t, oneZone, 2, limit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(limit - 500*time.Millisecond)
		g.Expect(w.allServed()).To(BeTrue())
		time.Sleep(2 * time.Second)
		g.Expect(w.owners()).To(BeEmpty())
		w.logDown(false)
		took := w.waitFor(5*time.Second, "every shard served", w.allServed)
		t.Logf("served again %v after the log came back", took)
	})
}

func TestLessorLostWhileTheLogIsUnavailable(t *testing.T) {
	run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
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
		w.waitFor(5*time.Second, "a standby lessor again", func() bool { return w.standby("a/0") != nil })
	})
}

func TestLessorLostSoonAfterTheLogFails(t *testing.T) {
	run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(500 * time.Millisecond)
		w.lessorOfA().kill()
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue(), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
		w.logDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
	})
}

func TestServerLostWhileTheLogIsUnavailable(t *testing.T) {
	run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
		w.logDown(true)
		time.Sleep(5 * time.Second)
		lost := w.shardsOn("sa1")
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(w.serving()).To(HaveLen(shardCount), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
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

func TestServerAndThenLessorLostWhileTheLogIsUnavailable(t *testing.T) {
	run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
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
				g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
			case siteconfig.Forever:
				time.Sleep(10 * time.Minute)
				g.Expect(w.shardsInA()).To(Equal(inside))
				g.Expect(w.gaps(nil)).To(BeZero())
			default:
				time.Sleep(limit - time.Second)
				g.Expect(w.shardsInA()).To(Equal(inside))
				g.Expect(w.gaps(nil)).To(BeZero())
				took := w.waitFor(5*time.Second, "other zones took over", func() bool { return len(w.shardsInA()) == 0 && w.allServed() })
				t.Logf("limit %v: gap %v, other zones took over %v after the cut", limit, w.gaps(nil), limit-time.Second+took)
				g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
			}
			g.Expect(w.gaps(outside)).To(BeZero())
			w.cutA(false)
			time.Sleep(10 * time.Second)
			g.Expect(w.allServed()).To(BeTrue())
			w.waitFor(time.Minute, "a lessor of the zone itself", func() bool {
				n := w.lessorOfA()
				return n != nil && n.zone == "a"
			})
		})
	}
}

func TestZoneCutOffHealsBeforeTheLimit(t *testing.T) {
	run(t, threeZones, 2, defaultLimit, func(w *world, g *WithT) {
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
	run(t, oneZone, 3, defaultLimit, func(w *world, g *WithT) {
		w.lessorOfA().cutServers(true, "sa1", "sa2", "sa3")
		time.Sleep(10 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
	})
}

func TestOneUnansweredRenewalMovesNothing(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		before := w.fences()
		w.servers["sa1"].setDown(true)
		time.Sleep(200 * time.Millisecond)
		w.servers["sa1"].setDown(false)
		time.Sleep(settleTime)
		g.Expect(w.fences()).To(Equal(before))
	})
}

func TestEveryServerOfAZoneLost(t *testing.T) {
	run(t, threeZones, 2, defaultLimit, func(w *world, g *WithT) {
		for _, id := range []topo.ServerID{"sa1", "sa2", "sa3"} {
			w.servers[id].setDown(true)
		}
		time.Sleep(5 * time.Second)
		g.Expect(w.serving()).To(HaveLen(shardCount), w.dumps())
		t.Logf("gap %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", recoveryTime))
	})
}
