package ranges

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// loadedSite returns a site of owners with equal parts of the keys and equal loads, and an
// allocator whose grants have all been answered.
func loadedSite(owners int, perOwner float64) (*Allocator, Site, time.Time) {
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: nil}}
	var servers []site.Server
	width := (int(LastKey) + 1) / owners
	for i := range owners {
		id := site.ServerID(fmt.Sprintf("s-%02d", i))
		servers = append(servers, site.Server{ID: id, Slots: 3, Address: string(id)})
		span := Span{From: Key(i * width), To: Key((i+1)*width - 1)}
		if i == owners-1 {
			span.To = LastKey
		}
		table.Services[worldService] = append(table.Services[worldService], Assignment{Span: span, Server: id, Fence: 1})
	}
	s := keyedSite(servers...)
	s.Services[worldService] = site.Service{Name: worldService, Keyed: true, WarmUpRate: 2.9}
	s.Load = NewLoads()
	now := allocatorStart
	for range 100 { // ten seconds
		s.Load.Decay(now)
		for i := range owners {
			for key := range 10 {
				if count := perOwner / 100; count > 0 {
					s.Load.countFraction(worldService, Key(i*width+key), count)
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	s.Load.Decay(now)
	alloc := NewAllocator(table, DefaultTiming(), 0, now)
	lease := Lease{ConfirmedAt: now}
	for _, call := range alloc.Calls(s.Servers, lease, now) {
		alloc.Done(call, Result{}, now)
	}
	return alloc, s, now
}

// countFraction adds a part of a request.
func (l *Loads) countFraction(service site.ServiceName, key Key, part float64) {
	l.Count(service, key, 0)
	load := l.services[service]
	rate := float32(part / 0.1) // in each 100 ms
	load.longTerm.add(key, rate*0.1*float32(0.6931/longTermHalfLife.Seconds()))
	load.shortTerm.add(key, rate*0.1*float32(0.6931/shortTermHalfLife.Seconds()))
}

// ratesOf returns the requests a second for the keys of each server, those to which ranges move
// included.
func ratesOf(alloc *Allocator, s Site, now time.Time) map[site.ServerID]float64 {
	rates := map[site.ServerID]float64{}
	r := alloc.newRound(worldService, s, now)
	for _, l := range alloc.leases[worldService] {
		owner := l.Server
		if l.next != "" {
			owner = l.next
		}
		rates[owner] += r.rate(l)
	}
	return rates
}

// The ranges of an owner that leaves went to the servers with the fewest keys, which are those that have
// just started: 25 requests in a second reached a server that tolerates 12.
func TestRangesOfALeavingOwnerGoToWarmServers(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s, now := loadedSite(6, 5)
	for _, id := range []site.ServerID{"cold-1", "cold-2"} {
		s.Servers[id] = site.Server{ID: id, Service: worldService, Slots: 3, WarmUp: 3 * time.Second}
		s.Known[id] = s.Servers[id]
	}
	delete(s.Servers, "s-00")
	delete(s.Servers, "s-01")
	alloc.Plan(s, 2, now)
	now = now.Add(releaseNotice)
	for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
		alloc.Done(call, Result{}, now)
	}
	change := alloc.Plan(s, 2, now)
	g.Expect(change).NotTo(gomega.BeNil())
	for _, key := range []Key{0, 12000} {
		owner, _ := change.Table.Owner(worldService, key)
		g.Expect(s.Servers[owner.Server].IsCold()).To(gomega.BeFalse(), "key %d went to %s", key, owner.Server)
	}
}

// A cold server without keys gets as many as it tolerates requests for, also when the others are
// overloaded.
func TestColdServersGetOnlyTheLoadThatTheyTolerate(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s, now := loadedSite(6, 14)
	for id := range s.Servers {
		s.Load.ReportServiceTime(id, 290*time.Millisecond)
	}
	s.Servers["cold"] = site.Server{ID: "cold", Service: worldService, Slots: 3, WarmUp: 3 * time.Second}
	s.Known["cold"] = s.Servers["cold"]
	for range 8 {
		now = now.Add(shedInterval)
		alloc.Plan(s, 2, now)
	}
	rate := ratesOf(alloc, s, now)["cold"]
	g.Expect(rate).To(gomega.BeNumerically(">", 0))
	g.Expect(rate).To(gomega.BeNumerically("<=", 2.9*1.5))
}

// An owner that turns cold keeps only what it tolerates.
func TestOwnerThatTurnsColdGivesLoadAway(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s, now := loadedSite(6, 5)
	turned := s.Servers["s-03"]
	turned.WarmUp = 3 * time.Second
	s.Servers["s-03"] = turned
	for range 8 {
		now = now.Add(shedInterval)
		alloc.Plan(s, 2, now)
	}
	g.Expect(ratesOf(alloc, s, now)["s-03"]).To(gomega.BeNumerically("<=", 2.9*1.5))
}
