package ranges

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A large site: 300 servers of different speeds, whose keyed service is utilized to two
// fifths, and reports that reach the lessor with a delay.
const (
	largeServers = 300
	largeRate    = 850.0 // requests a second, without the busy keys
	reportDelay  = 800 * time.Millisecond
)

// largeReplay plays random requests against a lessor.
type largeReplay struct {
	*keyReplay
	random  *rand.Rand
	delayed []delayedCount
	// offered and served are the requests for busy keys, and how many of them their owners
	// had capacity for.
	offered, served float64
	// othersOffered and othersServed are the same for all other requests.
	othersOffered, othersServed float64
}

type delayedCount struct {
	at       time.Time
	key      Key
	requests int
}

func newLargeReplay(seed uint64) *largeReplay {
	serviceTimes := []time.Duration{950 * time.Millisecond, 570 * time.Millisecond, 407 * time.Millisecond}
	var all []time.Duration
	for i := range largeServers {
		all = append(all, serviceTimes[i%len(serviceTimes)])
	}
	r := &largeReplay{keyReplay: newKeyReplay(), random: rand.New(rand.NewPCG(seed, 1))}
	for i, serviceTime := range all {
		id := site.ServerID(fmt.Sprintf("s%03d", i))
		r.servers[id] = site.Server{ID: id, Service: worldService, Slots: 4, Address: string(id)}
		r.serviceTimes[id] = serviceTime
	}
	return r
}

// play offers requests for keys across the key space, and the given rate for each busy key.
func (r *largeReplay) play(length time.Duration, busy map[Key]float64) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(worldStep) {
		arrivals := map[Key]int{}
		for range poisson(r.random, largeRate*worldStep.Seconds()) {
			arrivals[Key(r.random.IntN(int(LastKey)+1))]++
		}
		for _, key := range slices.Sorted(maps.Keys(busy)) {
			arrivals[key] += poisson(r.random, busy[key]*worldStep.Seconds())
		}
		for _, key := range slices.Sorted(maps.Keys(arrivals)) {
			r.delayed = append(r.delayed, delayedCount{at: r.now.Add(reportDelay), key: key, requests: arrivals[key]})
		}
		r.report()
		r.measure(busy)
		r.step(true)
	}
}

// report counts the requests whose reports have reached the lessor.
func (r *largeReplay) report() {
	counted := 0
	for _, c := range r.delayed {
		if c.at.After(r.now) {
			break
		}
		r.loads.Count(worldService, c.key, c.requests)
		counted++
	}
	r.delayed = r.delayed[counted:]
	r.loads.Decay(r.now)
	for id, serviceTime := range r.serviceTimes {
		r.loads.ReportServiceTime(id, serviceTime)
	}
}

// measure compares the offered load of each owner with its capacity.
func (r *largeReplay) measure(busy map[Key]float64) {
	offered, ofBusy := map[site.ServerID]float64{}, map[site.ServerID]float64{}
	if len(r.allocator.leases[worldService]) == 0 {
		return
	}
	for _, l := range r.allocator.leases[worldService] {
		offered[l.Server] += largeRate * float64(l.Keys()) / float64(LastKey+1)
	}
	for key, rate := range busy {
		l := r.allocator.leaseOf(worldService, key)
		if l.phase != granting {
			r.offered += rate // nobody serves the key while it moves
			continue
		}
		offered[l.Server] += rate
		ofBusy[l.Server] += rate
	}
	for id, rate := range offered {
		share := min(1, 4/r.serviceTimes[id].Seconds()/rate)
		r.offered += ofBusy[id]
		r.served += ofBusy[id] * share
		r.othersOffered += rate - ofBusy[id]
		r.othersServed += (rate - ofBusy[id]) * share
	}
}

// poisson returns a Poisson-distributed count with a small mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

// cluster returns adjacent keys that share a total rate.
func cluster(from Key, keys int, total float64) map[Key]float64 {
	busy := map[Key]float64{}
	for i := range keys {
		busy[from+Key(i)] = total / float64(keys)
	}
	return busy
}

// Adjacent keys suddenly receive a third of all requests of a service of 300 servers, for
// four to five seconds. A lessor that halved their ranges, and moved a range only after a
// cooldown, needed longer than that to spread them.
func TestABusyClusterIsSpreadWhileItLasts(t *testing.T) {
	// The lessor and the nodes cannot react before they have received the reports.
	const detectionDelay = reportDelay + shedInterval/2 + releaseNotice
	for _, c := range []struct {
		keys  int
		total float64
		last  time.Duration
	}{
		{keys: 200, total: 400, last: 5 * time.Second},
		{keys: 60, total: 400, last: 4 * time.Second},
	} {
		least := 5.0 / 6 * float64(c.last-detectionDelay) / float64(c.last)
		t.Run(fmt.Sprintf("%d keys", c.keys), func(t *testing.T) {
			for seed := range uint64(3) {
				g := gomega.NewWithT(t)
				r := newLargeReplay(seed)
				r.play(6*time.Second, nil)
				r.offered, r.served, r.othersOffered, r.othersServed = 0, 0, 0, 0
				r.play(c.last, cluster(20_000, c.keys, c.total))
				t.Logf("seed %d: capacity for %.3f of the requests for busy keys, %.3f of the others; %d ranges, %d keys moved", seed, r.served/r.offered, r.othersServed/r.othersOffered, r.allocator.Table().Ranges(), r.movedKeys)
				g.Expect(r.served/r.offered).To(gomega.BeNumerically(">", least), "seed %d", seed)
				g.Expect(r.othersServed/r.othersOffered).To(gomega.BeNumerically(">", 0.98), "seed %d", seed)
			}
		})
	}
}

// One key receives a fifth of all requests, 20 times what its owner can run. The other keys
// of its owner must be served elsewhere.
func TestOneBusyKeyDoesNotSlowOtherKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLargeReplay(1)
	r.play(6*time.Second, nil)
	r.play(2*time.Second, cluster(20_000, 1, 200))
	r.othersOffered, r.othersServed = 0, 0
	r.play(3*time.Second, cluster(20_000, 1, 200))
	t.Logf("capacity for %.4f of the other requests", r.othersServed/r.othersOffered)
	g.Expect(r.othersServed / r.othersOffered).To(gomega.BeNumerically(">", 0.999))
	owner, _ := r.allocator.Table().Owner(worldService, 20_000)
	g.Expect(r.serviceTimes[owner.Server]).To(gomega.Equal(407*time.Millisecond), "the key is on a fast server")
}
