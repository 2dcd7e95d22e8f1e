package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// While a hot key moved, neither its owner nor the next one had a demand, so that no node's requests
// were limited: all of them reached the new owner at once, which reset the connections of those beyond
// its queue.
func TestDemandForAMovingHotKeyIsThatOfItsNextOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	const hotKey = 7
	alloc, s, now := loadedSite(8, 2)
	for range 20 { // two seconds
		s.Load.Decay(now)
		s.Load.Count(worldService, hotKey, 10)
		now = now.Add(100 * time.Millisecond)
	}
	s.Load.Decay(now)
	owner := alloc.leaseOf(worldService, hotKey).Server
	g.Expect(demandOf(alloc.Demands(s, now), owner)).To(gomega.BeNumerically(">", 80))

	r := alloc.newRound(worldService, s, now)
	r.usages = r.measure(alloc.eligibleServers(s, worldService, now))
	next := r.leastUtilizedWith(r.usages[0], 0).server.ID
	cut, _ := alloc.split(alloc.leaseOf(worldService, hotKey), Span{From: hotKey, To: hotKey})
	alloc.startRelease(cut, next, now)
	demands := alloc.Demands(s, now)
	g.Expect(demandOf(demands, next)).To(gomega.BeNumerically(">", 80))
	g.Expect(demandOf(demands, owner)).To(gomega.BeNumerically("<", 10))
}

func demandOf(demands []quota.Server, id site.ServerID) float64 {
	for _, d := range demands {
		if d.ID == id {
			return d.Demand
		}
	}
	return 0
}
