package routertest

import (
	"time"

	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Names of the services that Keyed and Unkeyed return.
const (
	KeyedName   = topo.Service("records")
	UnkeyedName = topo.Service("quotes")
)

// Keyed returns a service that is sharded by key and whose servers check fencing
// tokens.
func Keyed() *siteconfig.Service {
	return &siteconfig.Service{
		Name:                 KeyedName,
		Keyed:                true,
		Shards:               4,
		ConcurrencyPerServer: 4,
		ConnectionsPerServer: 100,
		ChecksFencing:        true,
		IdempotentMethods:    map[string]bool{"GET": true, "HEAD": true},
		Deadline:             10 * time.Second,
		Weighting:            siteconfig.WeightUnavailability,
		MaxBodyBytes:         1 << 20,
	}
}

// Unkeyed returns a service that is not sharded by key.
func Unkeyed() *siteconfig.Service {
	service := Keyed()
	service.Name = UnkeyedName
	service.Keyed = false
	service.Shards = 0
	return service
}

// AddServers adds a live server of a service to the first group of a zone.
func AddServers(site *routetest.Site, service topo.Service, zone topo.Zone, ids ...topo.ServerID) {
	for _, id := range ids {
		site.Backend(state.Server{
			ID: id, Service: service, Zone: zone, Address: "127.0.0.1:9",
			Group: topo.MakeGroupID(zone, 0), Phase: state.PhaseLive,
		})
	}
}
