package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against servers that get more than the limit that they name when they restart under their names: each node
// sent without a limit until it had an answer of the new incarnation.
func TestLimitsHoldWhileServersRestart(t *testing.T) {
	for name, move := range map[string]fleetMove{
		"once":            func(f *fleet) func(time.Duration) { return f.every(time.Second, 1, f.restartServers) },
		"in a crash loop": func(f *fleet) func(time.Duration) { return f.every(900*time.Millisecond, 8, f.restartServers) },
		"while each node is replaced": func(f *fleet) func(time.Duration) {
			restart := f.every(2*time.Second, 4, f.restartServers)
			replace := f.every(200*time.Millisecond, min(len(f.nodes), mostChanges), f.replace)
			return func(since time.Duration) {
				restart(since)
				replace(since)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { checkFleets(t, move) })
	}
}

// A server that restarts without its limit gets its part of the requests as soon as one of them has been answered.
func TestServersThatRestartWithoutTheirLimitAreUsedAgain(t *testing.T) {
	for _, nodes := range []int{12, 68, 295} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := newFleet(nodes, []float64{0, 1.1, -1, -1, -1, -1}, 1)
			restartedAt := start.Add(8 * time.Second)
			f.play(8*time.Second, 240, nil)
			f.limits[serverID(0).Name()], f.limits[serverID(1).Name()] = -1, -1
			f.restartServers()
			f.play(12*time.Second, 240, nil)
			for _, id := range []site.ServerID{serverID(0), serverID(1)} {
				back := f.rateFrom(id.Name(), restartedAt, 20)
				t.Logf("%s: 20 requests a second %v after the restart", id, back)
				g.Expect(back).To(gomega.BeNumerically("<", 10*time.Second), string(id))
			}
		})
	}
}

// rateFrom returns the time after which a server first gets a number of requests within a second.
func (f *fleet) rateFrom(name site.ServerName, from time.Time, rate int) time.Duration {
	var times []time.Time
	for _, a := range f.arrivals[name] {
		if !a.at.Before(from) {
			times = append(times, a.at)
		}
	}
	for i := range times {
		if i+rate-1 < len(times) && times[i+rate-1].Sub(times[i]) <= time.Second {
			return times[i].Sub(from)
		}
	}
	return time.Hour
}
