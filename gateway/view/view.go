// Package view holds what a node knows of the site: the configuration, the registered
// servers and the owners of keys. Each part has the position in the store that it comes
// from, so that parts from the store and from other nodes can be merged in any order and no
// part is replaced by an older one.
package view

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/broadcast"
	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Table is a table of ranges and the offset of its record.
type Table struct {
	Offset store.Offset
	Table  *ranges.Table
}

// Version orders the data that the lessors of a site send.
type Version struct {
	Offset store.Offset // of the table that the data belongs to
	Serial uint64       // grows with each change under the table
}

// IsAfter reports whether a version is newer than another one.
func (v Version) IsAfter(other Version) bool {
	return v.Offset > other.Offset || v.Offset == other.Offset && v.Serial > other.Serial
}

// Routes contains the owners of the ranges of keyed services, as known to the lessor of the
// table at an offset.
type Routes struct {
	Lessor   ranges.Lessor
	Offset   store.Offset // of the table
	Serial   uint64       // grows with each change; 0 means that the routes come from the table alone
	Services map[site.ServiceName][]ranges.Route
}

// Version returns the version of the routes.
func (r Routes) Version() Version { return Version{Offset: r.Offset, Serial: r.Serial} }

// Shares contains the share of the requests for each server's keys that may be sent, as set
// by the lessor of the table at an offset.
type Shares struct {
	Offset     store.Offset
	Serial     uint64 // grows with each change and repetition
	ByServer   quota.Shares
	ReceivedAt time.Time // by this node's clock
}

// Version returns the version of the shares.
func (s Shares) Version() Version { return Version{Offset: s.Offset, Serial: s.Serial} }

// Quarantine contains the requests that are refused because servers ended under them.
type Quarantine struct {
	Offset store.Offset // of its record in the ownership topic
	List   quarantine.List
}

// View is a snapshot of what a node knows. It is immutable.
type View struct {
	Config  *site.Config // nil before the first
	Servers Servers
	Table   Table  // the newest that this node has read or written
	Routes  Routes // may belong to a newer table
	Shares  Shares
	// Guidance is the latest of a lessor. Its parts expire, see package pool.
	Guidance Guidance
	// Quarantine is the newest list that a lessor has written.
	Quarantine Quarantine
	// Evacuation holds the zones whose servers get no requests.
	Evacuation Evacuation
	// Limits holds the limits that servers name.
	Limits Limits
	// Leaving holds the servers that are about to end by their own answers.
	Leaving Leaving
	// Members are the nodes that share the servers with this one, including itself; empty
	// if they are not known.
	Members []Member

	byService  map[site.ServiceName][]site.Server
	coldKeys   map[site.ServiceName][]coldSpan
	registered map[site.ServerID]site.Server // Servers.Servers with the leaving ones marked
	serversSum uint64
	membersSum uint64
}

// Member is one incarnation of a node.
type Member struct {
	Node    string `json:"node"`
	Boot    string `json:"boot"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // of its listener for other nodes
	// Capacity is the capacity of the node for work on behalf of other nodes, in processor
	// cores.
	Capacity float64 `json:"strength,omitempty"`
}

// HashMembers returns a hash that distinguishes lists of members.
func HashMembers(list []Member) uint64 {
	hash := xxhash.New()
	for _, m := range list {
		for _, field := range []string{m.Node, m.Boot, m.Zone, m.Address} {
			_, _ = hash.WriteString(field) // never fails
			_, _ = hash.WriteString("\n")
		}
	}
	return hash.Sum64()
}

// IsComplete reports whether requests can be served.
func (v *View) IsComplete() bool { return v.Config != nil && v.Servers.Offset > 0 }

// ServersSum returns a sum that distinguishes registries, independent of their offsets.
func (v *View) ServersSum() uint64 { return v.serversSum }

// MembersHash returns a hash that distinguishes lists of members.
func (v *View) MembersHash() uint64 { return v.membersSum }

// ServersOf returns the registered servers of a service.
func (v *View) ServersOf(service site.ServiceName) []site.Server { return v.byService[service] }

// Restarted reports whether the registry has another incarnation of a server under its
// name. The ranges of the previous incarnation are not owned by the new one until they are
// granted again.
func (v *View) Restarted(id site.ServerID) bool {
	_, exists := ranges.LaterIncarnation(v.Servers.Servers, id)
	return exists
}

// RouteOf returns the route of a key.
func (v *View) RouteOf(service site.ServiceName, key ranges.Key) (ranges.Route, bool) {
	routes := v.Routes.Services[service]
	i, found := slices.BinarySearchFunc(routes, key, func(r ranges.Route, key ranges.Key) int { return r.Compare(key) })
	if !found {
		return ranges.Route{}, false
	}
	return routes[i], true
}

// State holds the current view.
type State struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	changed broadcast.Signal
	starts  latestStarts // guarded by mu
	// evacuationGrace is how long the owners of keys in an evacuated zone still get requests.
	evacuationGrace atomic.Int64
	// drainGrace is how long servers that leave by their own answers still get requests for their keys.
	drainGrace atomic.Int64
}

// NewState returns the state of a node without any data.
func NewState() *State {
	s := &State{starts: newLatestStarts()}
	s.current.Store(new(View))
	return s
}

// Now returns the current view.
func (s *State) Now() *View { return s.current.Load() }

// Changed returns a channel that is closed when the view changes. It must be called before
// Now.
func (s *State) Changed() <-chan struct{} { return s.changed.Next() }

// update replaces the view by a changed copy, if change reports that there is a change.
func (s *State) update(change func(next *View) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	if !change(&next) {
		return false
	}
	s.current.Store(&next)
	s.changed.Send()
	return true
}

// MergeConfig applies a configuration if it is newer, and reports whether it was.
func (s *State) MergeConfig(config *site.Config) bool {
	return s.update(func(next *View) bool {
		if config == nil || next.Config != nil && config.Version <= next.Config.Version {
			return false
		}
		next.Config = config.Index()
		return true
	})
}

// MergeServers applies a registry if it is newer. Of each server it uses the latest
// incarnation in all registries applied so far.
func (s *State) MergeServers(servers Servers) bool {
	return s.update(func(next *View) bool {
		if servers.Offset <= next.Servers.Offset {
			return false
		}
		servers.Servers = s.starts.merge(servers.Servers, next.Servers.Servers, clock.Now())
		servers.Servers = keepDraining(servers.Servers, next.Servers.Servers)
		next.setServers(servers)
		return true
	})
}

// keepDraining returns the servers with those marked as draining that were known to drain. An incarnation does not take
// that back, but a store that has come back from a copy may have lost it.
func keepDraining(servers, known map[site.ServerID]site.Server) map[site.ServerID]site.Server {
	var kept map[site.ServerID]site.Server
	for id, before := range known {
		server, isRegistered := servers[id]
		if !before.Draining || !isRegistered || server.Draining {
			continue
		}
		if kept == nil {
			kept = maps.Clone(servers)
		}
		server.Draining = true
		kept[id] = server
	}
	if kept == nil {
		return servers
	}
	return kept
}

// AcceptDeferred accepts earlier incarnations that other nodes have reported for long
// enough.
func (s *State) AcceptDeferred() bool {
	return s.update(func(next *View) bool {
		accepted := s.starts.accept(next.Servers.Servers, clock.Now())
		if accepted == nil {
			return false
		}
		next.setServers(Servers{Offset: next.Servers.Offset, Servers: accepted})
		return true
	})
}

// setServers replaces the registry. The lists of services whose servers are unchanged are
// kept, so that holders of a list can detect that nothing changed.
func (v *View) setServers(servers Servers) {
	sum := serversSum{total: v.serversSum}
	touched := map[site.ServiceName]bool{}
	for id, server := range servers.Servers {
		known, exists := v.Servers.Servers[id]
		if exists && known == server {
			continue
		}
		if exists {
			sum.drop(known)
			touched[known.Service] = true
		}
		sum.add(server)
		touched[server.Service] = true
	}
	for id, known := range v.Servers.Servers {
		if _, exists := servers.Servers[id]; !exists {
			sum.drop(known)
			touched[known.Service] = true
		}
	}
	v.Servers = servers
	v.serversSum = sum.total
	v.markLeaving()
	v.listServices(touched)
}

// listServices rebuilds the lists of services whose servers have changed.
func (v *View) listServices(touched map[site.ServiceName]bool) {
	if len(touched) == 0 {
		return
	}
	lists := maps.Clone(v.byService)
	if lists == nil {
		lists = map[site.ServiceName][]site.Server{}
	}
	for service := range touched {
		delete(lists, service)
	}
	for _, server := range v.registered {
		if touched[server.Service] {
			lists[server.Service] = append(lists[server.Service], server)
		}
	}
	v.byService = lists
}

// MergeTable applies a table if it is newer. If there are no newer routes, it also replaces
// the routes: the owners are assumed to serve their ranges.
func (s *State) MergeTable(table Table) bool {
	return s.update(func(next *View) bool {
		if next.Table.Table != nil && table.Offset <= next.Table.Offset {
			return false
		}
		next.Table = table
		if table.Offset > next.Routes.Offset || next.Routes.Lessor.Boot == "" {
			next.setRoutes(routesOf(table), time.Now())
		}
		return true
	})
}

// routesOf returns the routes of a table whose lessor has not sent any yet.
func routesOf(table Table) Routes {
	routes := Routes{Lessor: table.Table.Lessor, Offset: table.Offset, Services: map[site.ServiceName][]ranges.Route{}}
	for service, assignments := range table.Table.Services {
		for _, a := range assignments {
			route := ranges.Route{Span: a.Span, Server: a.Server, State: ranges.Ready}
			if a.Server == "" {
				route.State = ranges.Moving
			}
			routes.Services[service] = append(routes.Services[service], route)
		}
	}
	return routes
}

// MergeRoutes applies the routes of a lessor unless newer ones are known.
func (s *State) MergeRoutes(routes Routes) bool {
	return s.update(func(next *View) bool {
		if next.Routes.Lessor.Boot != "" && !routes.Version().IsAfter(next.Routes.Version()) {
			return false
		}
		next.setRoutes(routes, time.Now())
		return true
	})
}

// MergeShares applies the shares of a lessor unless newer ones are known.
func (s *State) MergeShares(shares Shares) bool {
	return s.update(func(next *View) bool {
		if !shares.Version().IsAfter(next.Shares.Version()) {
			return false
		}
		shares.ReceivedAt = time.Now()
		next.Shares = shares
		return true
	})
}

// MergeQuarantine applies a list of quarantined requests if it is newer, and reports whether
// it was.
func (s *State) MergeQuarantine(next Quarantine) bool {
	return s.update(func(v *View) bool {
		if next.List == nil || v.Quarantine.List != nil && next.Offset <= v.Quarantine.Offset {
			return false
		}
		v.Quarantine = next
		return true
	})
}

// SetMembers replaces the list of nodes.
func (s *State) SetMembers(members []Member) {
	s.update(func(next *View) bool {
		if len(members) == 0 {
			return false
		}
		isSame := slices.Equal(members, next.Members)
		if !isSame {
			next.Members, next.membersSum = members, HashMembers(members)
		}
		return !isSame
	})
}

// Codec decodes the records of the store that others write.
type Codec interface {
	// Config decodes a record of the configurations' topic. found is false if the record is
	// not a configuration.
	Config(key string, value []byte) (config *site.Config, found bool, err error)
	// Evacuation returns the zone that a record of the configurations' topic evacuates while it
	// exists. found is false for other records.
	Evacuation(key string) (zone string, found bool)
	// Entry decodes a server's record. It returns a complete entry, or an error that
	// describes the fault.
	Entry(key string, value []byte) (site.RegistryEntry, error)
}
