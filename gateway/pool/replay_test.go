package pool_test

import (
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/replay"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var start = replay.Start()

// seed is the random seed of every replay in this package.
const seed = 7

func serverID(i int) site.ServerID { return replay.ServerID(i) }

func run(l replay.Load) replay.Result { return replay.Run(l, seed) }

func eight() []replay.Server { return replay.EightServers() }

func steady(rate float64) func(time.Duration) float64 { return replay.Steady(rate) }

// compare runs a load with the pool and with randomly chosen servers.
func compare(t *testing.T, l replay.Load) (pooled, blind replay.Result) {
	t.Helper()
	pooled = run(l)
	l.Policy = replay.RandomServer
	blind = run(l)
	t.Logf("with the pool: %v; sent at random: %v", pooled, blind)
	return pooled, blind
}
