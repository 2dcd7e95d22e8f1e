package view

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Evacuation holds the zones that the operator has evacuated: their servers get no requests
// until the operator takes them back.
type Evacuation struct {
	Offset store.Offset // after the record that it comes from
	// Until is the time, by this node's clock, until which owners of keys in each zone still
	// get requests for these keys.
	Until map[string]time.Time
}

// Zones returns the evacuated zones in order.
func (e Evacuation) Zones() []string { return slices.Sorted(maps.Keys(e.Until)) }

// SetEvacuationGrace sets how long the owners of keys in a zone still get requests for these keys
// after this node knows of its evacuation, so that the keys move without a gap.
func (s *State) SetEvacuationGrace(grace time.Duration) { s.evacuationGrace.Store(int64(grace)) }

// MergeEvacuation replaces the evacuated zones by those as of an offset, if that is newer. It
// returns the zones before, and whether they have changed.
func (s *State) MergeEvacuation(offset store.Offset, zones []string) (before []string, changed bool) {
	until := time.Now().Add(time.Duration(s.evacuationGrace.Load()))
	s.update(func(next *View) bool {
		if offset <= next.Evacuation.Offset {
			return false
		}
		before = next.Evacuation.Zones()
		evacuation := Evacuation{Offset: offset, Until: make(map[string]time.Time, len(zones))}
		for _, zone := range zones {
			evacuation.Until[zone] = until
			if known, isKnown := next.Evacuation.Until[zone]; isKnown {
				evacuation.Until[zone] = known
			}
		}
		next.Evacuation = evacuation
		changed = !slices.Equal(before, evacuation.Zones())
		if changed {
			next.markLeaving()
			next.listServices(next.servicesWithChange(before))
		}
		return true
	})
	return before, changed
}

// Registered returns the registered servers. Those that leave, by their own answers or because their zones are
// evacuated, are marked.
func (v *View) Registered() map[site.ServerID]site.Server { return v.registered }

// servicesWithChange returns the services of servers whose evacuation has begun or ended, given the
// zones that were evacuated before.
func (v *View) servicesWithChange(before []string) map[site.ServiceName]bool {
	services := map[site.ServiceName]bool{}
	for _, server := range v.registered {
		if server.IsEvacuated() != slices.Contains(before, server.Zone) {
			services[server.Service] = true
		}
	}
	return services
}
