package router

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// serverIndex lists the live servers of each service. It is rebuilt when the
// view's servers change, which is rare compared with other records.
type serverIndex struct {
	current atomic.Pointer[indexedServers]
}

type indexedServers struct {
	source    uintptr // identity of the map that was indexed
	byService map[topo.Service][]state.Server
}

func (x *serverIndex) liveServers(view *state.View, service topo.Service) []state.Server {
	servers := view.Servers()
	source := reflect.ValueOf(servers).Pointer()
	known := x.current.Load()
	if known == nil || known.source != source {
		known = &indexedServers{source: source, byService: map[topo.Service][]state.Server{}}
		for _, server := range servers {
			if server.Phase == state.PhaseLive {
				known.byService[server.Service] = append(known.byService[server.Service], server)
			}
		}
		x.current.Store(known)
	}
	return known.byService[service]
}

// choose picks a server of an unkeyed service.
func (r *requestState) choose(view *state.View) (route.Decision, *outcome.Verdict) {
	routes := r.candidateRoutes(view)
	if len(routes) == 0 {
		return r.noRoute(view)
	}
	candidates := make([]pick.Candidate, len(routes))
	for i, d := range routes {
		candidates[i] = r.candidate(view, d)
	}
	chosen, found := r.m.picker.Pick(candidates, rand.Float64)
	if !found {
		return route.Decision{}, refuse(callerapi.ReasonNoServer)
	}
	if preferred := slices.IndexFunc(routes, r.isPreferred); preferred >= 0 && candidates[preferred].Load <= candidates[chosen].Load {
		chosen = preferred
	}
	return routes[chosen], nil
}

// noRoute decides when no server may take the request. If the ticket's term is not
// in force, the request waits while this node's state may be behind that term;
// otherwise the ticket is stale for good.
func (r *requestState) noRoute(view *state.View) (route.Decision, *outcome.Verdict) {
	wait := route.Decision{Path: route.PathWait, Reason: callerapi.ReasonNoServer, Service: r.config}
	if r.ticket == nil {
		return wait, nil
	}
	if r.req.ForwardedBy != "" {
		return wait, refuse(callerapi.ReasonNotLessor)
	}
	term := topo.Term{Ordinal: r.ticket.Scope.Ordinal}
	if term.Offset <= view.Applied() {
		stale := outcome.Unknown(serverapi.ReasonStaleTicket)
		return wait, &stale
	}
	wait.Reason = callerapi.ReasonNotLessor
	wait.Term = term
	return wait, nil
}

func (r *requestState) isPreferred(d route.Decision) bool { return d.Server == r.req.PreferredServer }

// candidateRoutes lists the decisions that the request may take. Servers that
// already failed and lessors with an outage are left out, unless no other is left.
func (r *requestState) candidateRoutes(view *state.View) []route.Decision {
	overlay := r.m.overlay.Overlay()
	var all, preferred []route.Decision
	for _, server := range r.m.index.liveServers(view, r.req.Service) {
		d := route.Server(view, overlay, r.m.self, r.req.Service, server.ID)
		if d.Path == route.PathWait || !r.allowed(d) {
			continue
		}
		all = append(all, d)
		if !slices.Contains(r.tried, server.ID) && !r.m.buffer.HasOutage(keysOf(d)[0]) {
			preferred = append(preferred, d)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return all
}

// allowed reports whether the request may take a decision. A forwarded request
// stays at the node that it was forwarded to, which may act as a deputy for the
// server that the sender chose. A ticket stays with the lessor of its term.
func (r *requestState) allowed(d route.Decision) bool {
	actingAsDeputy := r.req.UnreachableLessor != "" && r.req.UnreachableLessor == d.Lessor && r.isPreferred(d)
	if r.req.ForwardedBy != "" && d.Path != route.PathLocal && !actingAsDeputy {
		return false
	}
	return r.ticket == nil || ticket.TermScope(d.Term) == r.ticket.Scope
}

func (r *requestState) candidate(view *state.View, d route.Decision) pick.Candidate {
	now := time.Now()
	server, _ := view.Server(d.Server)
	c := pick.Candidate{
		Server: d.Server,
		Group:  d.Group,
		Zone:   server.Zone,
		Lessor: d.Lessor,
		Local:  d.Path == route.PathLocal,
		Weight: r.m.servers.Weight(now, d.Server),
	}
	if c.Local {
		c.Load = localLoad(r.m, d)
	} else {
		c.Load = r.m.remote.load(now, d.Server, d.Service.ConcurrencyPerServer)
		c.Weight *= r.m.nodes.Weight(now, d.Lessor)
	}
	return c
}

func localLoad(m *Module, d route.Decision) float64 {
	gate, exists := m.gates.Find(d.Server)
	if !exists {
		return 0
	}
	used, window := gate.Load()
	return float64(used) / float64(window)
}

// noServerKey returns the outage of a service without any server.
func noServerKey(service topo.Service) buffer.Key {
	return buffer.Key{Shard: topo.ShardID{Service: service}}
}
