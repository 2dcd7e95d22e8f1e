package ranges

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// keyReplay replays load on keys against a lessor whose calls all succeed at once.
type keyReplay struct {
	allocator       *Allocator
	loads           *Loads
	servers         map[site.ServerID]site.Server
	serviceTimes    map[site.ServerID]time.Duration
	now             time.Time
	end             Fence
	pendingRequests map[Key]float64 // fractions of requests that have not arrived yet
	movedKeys       int             // keys
}

func newKeyReplay(serviceTimes ...time.Duration) *keyReplay {
	r := &keyReplay{loads: NewLoads(), pendingRequests: map[Key]float64{}, servers: map[site.ServerID]site.Server{}, serviceTimes: map[site.ServerID]time.Duration{}, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), end: 1}
	for i, serviceTime := range serviceTimes {
		id := site.ServerID(fmt.Sprintf("s%d", i))
		r.servers[id] = site.Server{ID: id, Service: worldService, Slots: 4, Address: string(id)}
		r.serviceTimes[id] = serviceTime
	}
	r.allocator = NewAllocator(&Table{}, DefaultTiming(), 0, r.now)
	return r
}

// play offers the load for the given duration. If balanced is false, no load is passed to
// the lessor and ranges are not balanced.
func (r *keyReplay) play(length time.Duration, rates map[Key]float64, balanced bool) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(worldStep) {
		for key, rate := range rates {
			if _, started := r.pendingRequests[key]; !started {
				r.pendingRequests[key] = math.Mod(float64(key)*math.Phi, 1) // spreads the arrivals for different keys
			}
			r.pendingRequests[key] += rate * worldStep.Seconds()
			if whole := int(r.pendingRequests[key]); whole > 0 {
				r.loads.Count(worldService, key, whole)
				r.pendingRequests[key] -= float64(whole)
			}
		}
		r.loads.Decay(r.now)
		for id, serviceTime := range r.serviceTimes {
			r.loads.ReportServiceTime(id, serviceTime)
		}
		r.step(balanced)
	}
}

func (r *keyReplay) step(balanced bool) {
	s := Site{
		Services: map[site.ServiceName]site.Service{worldService: {Name: worldService, Keyed: true}},
		Servers:  r.servers,
		Writable: true,
		Settled:  true,
	}
	if balanced {
		s.Load = r.loads
	}
	if change := r.allocator.Plan(s, r.end, r.now); change != nil {
		r.end++
		r.allocator.Appended(change)
	}
	for _, move := range r.allocator.Moves() {
		r.movedKeys += move.Span.Keys()
	}
	for _, call := range r.allocator.Calls(r.servers, Lease{ConfirmedAt: r.now}, r.now) {
		r.allocator.Done(call, Result{Handover: "h"}, r.now)
	}
}

// utilization returns the highest utilization of a server.
func (r *keyReplay) utilization(rates map[Key]float64) float64 {
	utilization := map[site.ServerID]float64{}
	greatest := 0.0
	for key, rate := range rates {
		owner, _ := r.allocator.Table().Owner(worldService, key)
		utilization[owner.Server] += rate * r.serviceTimes[owner.Server].Seconds() / 4
		greatest = max(greatest, utilization[owner.Server])
	}
	return greatest
}

// spreadLoad returns rates on keys across the key space that add up to a total.
func spreadLoad(total float64) map[Key]float64 {
	rates := map[Key]float64{}
	for i := range 400 {
		rates[Key(i*163)] = total / 400
	}
	return rates
}

const (
	fastServiceTime = 150 * time.Millisecond
	slowServiceTime = 350 * time.Millisecond
)

// A key on a slow server becomes busier than that server can handle.
func TestABusyKeyGoesToTheFastestServer(t *testing.T) {
	g := gomega.NewWithT(t)
	replays := map[bool]float64{}
	for _, balanced := range []bool{true, false} {
		r := newKeyReplay(slowServiceTime, fastServiceTime, slowServiceTime, fastServiceTime, slowServiceTime)
		rates := spreadLoad(20)
		r.play(5*time.Second, rates, balanced)
		rates[1] += 20
		r.play(4*time.Second, rates, balanced)
		replays[balanced] = r.utilization(rates)
		owner, _ := r.allocator.Table().Owner(worldService, 1)
		if balanced {
			g.Expect(r.serviceTimes[owner.Server]).To(gomega.Equal(fastServiceTime))
		}
	}
	t.Logf("highest utilization: %.2f balanced, %.2f not balanced", replays[true], replays[false])
	g.Expect(replays[true]).To(gomega.BeNumerically("<", 1))
	g.Expect(replays[false]).To(gomega.BeNumerically(">", 1.5))
}

// The busy keys are adjacent and belong to one server.
func TestNeighbouringBusyKeysAreSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	replays := map[bool]float64{}
	moved := 0
	for _, balanced := range []bool{true, false} {
		r := newKeyReplay(fastServiceTime, fastServiceTime, fastServiceTime, fastServiceTime, fastServiceTime)
		rates := spreadLoad(20)
		for i := range 40 {
			rates[Key(30000+i)] += 1.2
		}
		r.play(8*time.Second, rates, balanced)
		replays[balanced] = r.utilization(rates)
		moved += r.movedKeys
	}
	t.Logf("highest utilization: %.2f balanced, %.2f not balanced; %d keys moved", replays[true], replays[false], moved)
	g.Expect(replays[true]).To(gomega.BeNumerically("<", 0.75))
	g.Expect(replays[false]).To(gomega.BeNumerically(">", 1.5))
	g.Expect(moved).To(gomega.BeNumerically("<", 65536/2))
}

func TestServersThatJoinGetKeys(t *testing.T) {
	for _, total := range []float64{60, 10} {
		t.Run(fmt.Sprintf("%v requests a second", total), func(t *testing.T) { testJoin(t, spreadLoad(total)) })
	}
}

func testJoin(t *testing.T, rates map[Key]float64) {
	g := gomega.NewWithT(t)
	r := newKeyReplay(fastServiceTime, fastServiceTime, fastServiceTime)
	r.play(4*time.Second, rates, true)
	r.servers["new"] = site.Server{ID: "new", Service: worldService, Slots: 4, Address: "new"}
	r.serviceTimes["new"] = fastServiceTime
	r.play(4*time.Second, rates, true)
	owned := 0
	for key := range rates {
		if owner, _ := r.allocator.Table().Owner(worldService, key); owner.Server == "new" {
			owned++
		}
	}
	g.Expect(owned).To(gomega.BeNumerically(">", 20))
}

// Pieces that balancing has created are merged once their keys are idle.
func TestPiecesAreMergedWhenTheKeysAreIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newKeyReplay(fastServiceTime, slowServiceTime, fastServiceTime, slowServiceTime, fastServiceTime)
	for round := range 6 {
		rates := spreadLoad(20)
		for i := range 20 {
			rates[Key(10000*round+i*7)] += 2
		}
		r.play(5*time.Second, rates, true)
	}
	most := r.allocator.Table().Ranges()
	r.play(30*time.Second, map[Key]float64{}, true)
	t.Logf("%d ranges while keys were busy, %d afterwards", most, r.allocator.Table().Ranges())
	g.Expect(r.allocator.Table().Ranges()).To(gomega.BeNumerically("<", max(most*2/3, 12)))
}
