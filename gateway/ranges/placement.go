package ranges

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// placement chooses the next owners of ranges that have none or leave theirs: the server with the
// lowest utilization afterwards, and among equally utilized ones that with the fewest keys. After
// the loss of many owners, or of a zone, dozens of ranges move at once, so each choice counts for
// the next.
type placement struct {
	// measure returns the servers with their loads. It sums the loads of all keys, so it is called
	// only when a range moves.
	measure func() *measuredOwners
	owners  *measuredOwners // nil: not measured yet
}

// measuredOwners are the servers that may get ranges.
type measuredOwners struct {
	round   *round // nil: no load is known
	byID    map[site.ServerID]*candidateOwner
	ordered []*candidateOwner
}

// candidateOwner is a server that may get ranges.
type candidateOwner struct {
	id          site.ServerID
	keys, slots int
	usage       *usage // nil: no load is known
	isCold      bool   // and takes only some requests a second
}

const (
	// keysWeight is the utilization that all keys of a service are worth on a server with one
	// slot. It decides between servers whose loads are about equal or not known.
	keysWeight = 0.5
	// coldPenalty is the utilization by which a cold server must be below a warm one to be
	// chosen: it tolerates few requests, and the load of a range may rise at any moment.
	coldPenalty = 1.0
)

func (alloc *Allocator) newPlacement(service site.ServiceName, s Site, servers []site.Server, now time.Time) *placement {
	return &placement{measure: func() *measuredOwners { return alloc.measureOwners(service, s, servers, now) }}
}

func (alloc *Allocator) measureOwners(service site.ServiceName, s Site, servers []site.Server, now time.Time) *measuredOwners {
	o := &measuredOwners{byID: map[site.ServerID]*candidateOwner{}}
	for _, server := range servers {
		c := &candidateOwner{id: server.ID, slots: max(server.Slots, 1), isCold: server.IsCold() && s.Services[service].WarmUpRate > 0}
		o.ordered = append(o.ordered, c)
		o.byID[server.ID] = c
	}
	for _, l := range alloc.leases[service] {
		if c := o.byID[l.Server]; c != nil && l.phase == granting {
			c.keys += l.Keys()
		}
	}
	if s.Load == nil || s.Load.services[service] == nil {
		return o
	}
	o.round = alloc.newRound(service, s, now)
	for _, u := range o.round.measure(servers) {
		o.byID[u.server.ID].usage = u
	}
	return o
}

// best returns the server that gets a range.
func (p *placement) best(l *rangeState) site.ServerID {
	owners := p.measured()
	rate := owners.rate(l)
	return slices.MinFunc(owners.ordered, func(a, b *candidateOwner) int {
		return cmp.Compare(a.score(rate), b.score(rate))
	}).id
}

// add records that a server gets a range.
func (p *placement) add(server site.ServerID, l *rangeState) {
	owners := p.measured()
	c := owners.byID[server]
	if c == nil {
		return
	}
	c.keys += l.Keys()
	if c.usage != nil {
		c.usage.utilization += owners.rate(l) * c.usage.cost
	}
}

func (p *placement) measured() *measuredOwners {
	if p.owners == nil {
		p.owners = p.measure()
	}
	return p.owners
}

// rate returns the requests a second for a range, 0 if no load is known.
func (o *measuredOwners) rate(l *rangeState) float64 {
	if o.round == nil {
		return 0
	}
	return o.round.rate(l)
}

// score returns the utilization of the server with additional requests a second, plus what its
// keys and its warm-up count.
func (c *candidateOwner) score(rate float64) float64 {
	score := keysWeight * float64(c.keys) / float64(c.slots) / float64(LastKey+1)
	if c.usage != nil {
		score += c.usage.utilization + rate*c.usage.cost
	}
	if c.isCold {
		score += coldPenalty
	}
	return score
}
