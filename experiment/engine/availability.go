package engine

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/topo"
)

// availability sums the time during which keys had no server that would serve them:
// from the time at which a server's shard was revoked, the server was lost or its
// lease expired, until a server was granted the shard.
type availability struct {
	site    *site
	held    map[topo.ServerID]map[topo.ShardID][]string // grants under a valid lease, with exceptions
	holders map[topo.ShardID]int
	excepts map[topo.ShardID]int // by key: number of grants of its hash range that exclude it
	keys    map[topo.ShardID]int // by hash range: number of its keys in use
	since   map[topo.ShardID]time.Time

	// keyTime is the sum of all outages, each multiplied by its number of keys. It is an
	// integer, so that it does not depend on the order of addition.
	keyTime time.Duration
	longest time.Duration
}

func newAvailability(s *site) *availability {
	a := &availability{
		site:    s,
		held:    map[topo.ServerID]map[topo.ShardID][]string{},
		holders: map[topo.ShardID]int{},
		excepts: map[topo.ShardID]int{},
		keys:    map[topo.ShardID]int{},
		since:   map[topo.ShardID]time.Time{},
	}
	for i := range s.deployment.Services {
		a.countKeys(&s.deployment.Services[i])
	}
	return a
}

func (a *availability) countKeys(service *model.Service) {
	if !service.Keyed {
		return
	}
	for i := range service.Keys {
		index := topo.ShardIndex(model.Key(service.Name, i), service.Shards)
		a.keys[topo.ShardID{Service: service.Name, Index: index}]++
	}
}

// granted records the shards that a server may serve now, and checks again when its lease
// expires.
func (a *availability) granted(s *server) {
	now := s.uptime()
	next := map[topo.ShardID][]string{}
	if s.up && s.holder.Valid(now) {
		for _, held := range s.holder.Grants() {
			next[held.Shard] = held.Except
		}
		boot := s.boot
		a.site.clock.after(s.holder.Expires()-now, func() {
			if s.boot == boot && !s.holder.Valid(s.uptime()) {
				a.granted(s)
			}
		})
	}
	a.replace(s.id, next)
}

// lost removes all grants of a server.
func (a *availability) lost(id topo.ServerID) { a.replace(id, nil) }

func (a *availability) replace(id topo.ServerID, next map[topo.ShardID][]string) {
	before := a.held[id]
	a.held[id] = next
	touched := map[topo.ShardID]bool{}
	a.add(before, -1, touched)
	a.add(next, 1, touched)
	for shard := range touched {
		a.settle(shard)
	}
	// A key with its own outage is available again when its whole hash range is granted.
	for id := range a.since {
		if id.Key != "" && touched[topo.ShardID{Service: id.Service, Index: id.Index}] {
			a.settle(id)
		}
	}
}

func (a *availability) add(held map[topo.ShardID][]string, count int, touched map[topo.ShardID]bool) {
	for shard, except := range held {
		a.holders[shard] += count
		touched[shard] = true
		for _, key := range except {
			id := topo.ShardID{Service: shard.Service, Index: shard.Index, Key: key}
			a.excepts[id] += count
			touched[id] = true
		}
	}
}

// served reports whether some server would serve a hash range, or a key that is
// or was split out of one.
func (a *availability) served(id topo.ShardID) bool {
	if a.holders[id] > 0 {
		return true
	}
	if id.Key == "" {
		return false
	}
	covering := topo.ShardID{Service: id.Service, Index: id.Index}
	return a.holders[covering] > a.excepts[id]
}

func (a *availability) settle(id topo.ShardID) {
	since, out := a.since[id]
	served := a.served(id)
	switch {
	case served && out:
		delete(a.since, id)
		a.count(id, since)
	case !served && !out:
		a.since[id] = a.site.clock.now
	}
}

// count adds an outage that lasted from since until now.
func (a *availability) count(id topo.ShardID, since time.Time) {
	from := later(since, a.site.measure.from)
	lasted := a.site.clock.now.Sub(from)
	if lasted <= 0 {
		return
	}
	keys := 1
	if id.Key == "" {
		keys = a.keys[id]
	}
	a.keyTime += time.Duration(keys) * lasted
	a.longest = max(a.longest, lasted)
}

// finish adds the outages that have not ended.
func (a *availability) finish() {
	ids := make([]topo.ShardID, 0, len(a.since))
	for id := range a.since {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y topo.ShardID) int { return compareText(x.String(), y.String()) })
	for _, id := range ids {
		a.count(id, a.since[id])
	}
}

// total returns the key-seconds of all keyed services over a duration.
func (a *availability) total(length time.Duration) float64 {
	keys := 0
	for _, count := range a.keys {
		keys += count
	}
	return float64(keys) * length.Seconds()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
