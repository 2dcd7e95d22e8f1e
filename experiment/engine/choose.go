package engine

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// choose picks a server of a service that is not divided by key. With a picker that
// probes, the request is delayed by its probes.
func (c *call) choose(then func(route.Decision)) {
	n := c.node
	routes := c.routes()
	if len(routes) == 0 {
		config, _ := n.view.Service(c.service.Name)
		then(route.Decision{Path: route.PathWait, Reason: callerapi.ReasonNoServer, Service: config})
		return
	}
	if c.from != nil {
		then(preferred(routes, c.chosen))
		return
	}
	picker := n.picker(c.service.Name)
	candidates := make([]pick.Candidate, len(routes))
	for i := range routes {
		candidates[i] = n.candidate(routes[i], picker)
	}
	before := probesOf(picker)
	chosen, found := picker.Pick(candidates, n.random.Float64)
	if !found {
		then(route.Decision{Path: route.PathRefuse, Reason: callerapi.ReasonNoServer})
		return
	}
	probed := probesOf(picker) - before
	n.site.measure.probes += probed
	n.site.clock.after(time.Duration(probed)*n.site.deployment.ProbeCost, func() { then(routes[chosen]) })
}

// Prober is a picker that probes servers for their load; Probes returns the number of probes.
type Prober interface{ Probes() int }

func probesOf(picker pick.Picker) int {
	if prober, probes := picker.(Prober); probes {
		return prober.Probes()
	}
	return 0
}

// preferred returns the route to the server that the forwarding node chose, or
// the first route.
func preferred(routes []route.Decision, chosen topo.ServerID) route.Decision {
	for _, d := range routes {
		if d.Server == chosen {
			return d
		}
	}
	return routes[0]
}

// routes lists the routes that the request may take: those that have not failed
// and have no outage or, if there are none, all of them.
func (c *call) routes() []route.Decision {
	n := c.node
	var all, fresh []route.Decision
	for _, id := range n.live(c.service.Name) {
		d := route.Server(n.view, nil, n.self(), c.service.Name, id)
		if d.Path == route.PathWait || (c.from != nil && !c.mayTake(d)) {
			continue
		}
		all = append(all, d)
		if !slices.Contains(c.tried, id) && !n.inOutage(keysOf(d)[0]) {
			fresh = append(fresh, d)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return all
}

// mayTake reports whether a forwarded request may take a route: one of this node,
// or that of a deputy to the server that the forwarding node chose.
func (c *call) mayTake(d route.Decision) bool {
	if d.Path == route.PathLocal {
		return true
	}
	return d.Server == c.chosen && c.deputize != "" && d.Lessor == c.deputize
}

// live lists the live servers of a service in order; it is computed once per view.
func (n *node) live(service topo.Service) []topo.ServerID {
	if n.liveOf != n.view {
		n.liveOf = n.view
		n.liveServers = map[topo.Service][]topo.ServerID{}
		for id, server := range n.view.Servers() {
			if server.Phase == state.PhaseLive {
				n.liveServers[server.Service] = append(n.liveServers[server.Service], id)
			}
		}
		for _, ids := range n.liveServers {
			slices.Sort(ids)
		}
	}
	return n.liveServers[service]
}

// candidate describes one route. A picker that probes gets the exact loads, any
// other picker the loads known to the node.
func (n *node) candidate(d route.Decision, picker pick.Picker) pick.Candidate {
	now := n.site.clock.now
	server, _ := n.view.Server(d.Server)
	c := pick.Candidate{
		Server: d.Server,
		Group:  d.Group,
		Zone:   server.Zone,
		Lessor: d.Lessor,
		Local:  d.Path == route.PathLocal,
		Weight: n.serverHealth(d.Server).Weight(now),
	}
	if c.Local {
		c.Load = n.loadOf(d.Server)
		return c
	}
	if _, probes := picker.(Prober); probes {
		c.Load = n.site.nodes[d.Lessor].loadOf(d.Server)
	} else {
		c.Load = n.remote(d.Server).load(now, d.Service.ConcurrencyPerServer)
	}
	c.Weight *= n.nodeHealth(d.Lessor).Weight(now)
	return c
}

// inOutage reports whether a key has a known outage.
func (n *node) inOutage(key buffer.Key) bool {
	_, out := n.outages[key]
	return out
}

// remoteLoad is a node's estimate of the load of a server whose admission point is another
// node, as in the router's module: its own requests there and the load that the other node
// last reported.
type remoteLoad struct {
	own      int
	reported float64
	at       time.Time
}

// reportedLoadTTL is the time over which a load reported by an admission point decays to 0.
const reportedLoadTTL = time.Second

func (r *remoteLoad) update(now time.Time, load float64) { r.reported, r.at = load, now }

func (r *remoteLoad) load(now time.Time, limit int) float64 {
	own := float64(r.own) / float64(limit)
	age := now.Sub(r.at)
	if r.at.IsZero() || age > reportedLoadTTL {
		return own
	}
	return max(own, r.reported*(1-float64(age)/float64(reportedLoadTTL)))
}
