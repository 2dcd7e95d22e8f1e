package lessor

import (
	"cmp"
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// placement chooses servers for the shards of one record. It counts its own
// choices, so that a lost server's shards are spread over several servers.
type placement struct {
	m        *Member
	owned    map[topo.ServerID]int
	standsBy map[topo.ServerID]int
	seen     map[topo.Service]bool // services whose counts have been read
}

func (m *Member) newPlacement() *placement {
	return &placement{
		m:        m,
		owned:    map[topo.ServerID]int{},
		standsBy: map[topo.ServerID]int{},
		seen:     map[topo.Service]bool{},
	}
}

// targets returns the live servers of a service.
func (p *placement) targets(service topo.Service) []Target {
	list := p.m.facts.Targets[service]
	if p.seen[service] {
		return list
	}
	p.seen[service] = true
	for _, target := range list {
		p.owned[target.ID] = target.Owned
		p.standsBy[target.ID] = target.StandsBy
	}
	return list
}

// owner chooses the next owner of a shard: the preferred server if it is fit,
// else the one that owns the fewest shards. It is empty if no server is fit.
func (p *placement) owner(service topo.Service, preferred topo.ServerID) topo.ServerID {
	suits := func(t Target) bool { return p.m.serves(t.ID) }
	best := p.best(p.targets(service), preferred, suits, p.owned)
	if best != "" {
		p.owned[best]++
	}
	return best
}

// standby chooses a standby server for a shard: one of the owner's group if
// there is any, so that it can be activated while the log is unavailable.
func (p *placement) standby(service topo.Service, owner, preferred topo.ServerID) topo.ServerID {
	candidates := p.targets(service)
	group := p.groupOf(candidates, owner)
	fit := func(t Target) bool { return t.ID != owner && p.m.mayStandBy(t.ID) }
	suits := func(t Target) bool { return fit(t) && t.Group == group }
	if !slices.ContainsFunc(candidates, suits) {
		suits = fit
	}
	best := p.best(candidates, preferred, suits, p.standsBy)
	if best != "" {
		p.standsBy[best]++
	}
	return best
}

func (p *placement) groupOf(candidates []Target, id topo.ServerID) topo.GroupID {
	for _, t := range candidates {
		if t.ID == id {
			return t.Group
		}
	}
	return p.m.cfg.Group
}

func (p *placement) best(from []Target, preferred topo.ServerID, suits func(Target) bool,
	count map[topo.ServerID]int) topo.ServerID {
	zone := p.m.cfg.Group.Zone()
	var best *Target
	for i := range from {
		t := &from[i]
		if !suits(*t) {
			continue
		}
		if t.ID == preferred {
			return t.ID
		}
		if best == nil || p.compare(*t, *best, zone, count) < 0 {
			best = t
		}
	}
	if best == nil {
		return ""
	}
	return best.ID
}

// compare orders servers by count, then by zone with the group's zone first,
// then by name.
func (p *placement) compare(a, b Target, zone topo.Zone, count map[topo.ServerID]int) int {
	return cmp.Or(
		cmp.Compare(count[a.ID], count[b.ID]),
		cmp.Compare(boolRank(a.Zone != zone), boolRank(b.Zone != zone)),
		cmp.Compare(a.ID, b.ID),
	)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
