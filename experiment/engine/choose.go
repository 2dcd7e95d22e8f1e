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

// choose picks a server of a service that is not divided by key. A picker that
// probes costs the request the time of its probes.
func (c *call) choose(then func(route.Decision)) {
	n := c.node
	ways := c.ways()
	if len(ways) == 0 {
		config, _ := n.view.Service(c.service.Name)
		then(route.Decision{Path: route.PathWait, Reason: callerapi.ReasonNoServer, Service: config})
		return
	}
	if c.from != nil {
		then(preferred(ways, c.chosen))
		return
	}
	picker := n.picker(c.service.Name)
	candidates := make([]pick.Candidate, len(ways))
	for i := range ways {
		candidates[i] = n.candidate(ways[i], picker)
	}
	before := probesOf(picker)
	chosen, found := picker.Pick(candidates, n.random.Float64)
	if !found {
		then(route.Decision{Path: route.PathRefuse, Reason: callerapi.ReasonNoServer})
		return
	}
	probed := probesOf(picker) - before
	n.site.measure.probes += probed
	n.site.clock.after(time.Duration(probed)*n.site.deployment.ProbeCost, func() { then(ways[chosen]) })
}

// Prober is a picker that asks servers for their load; Probes counts that.
type Prober interface{ Probes() int }

func probesOf(picker pick.Picker) int {
	if prober, probes := picker.(Prober); probes {
		return prober.Probes()
	}
	return 0
}

// preferred returns the way to the server that the forwarding node chose, or
// the first one.
func preferred(ways []route.Decision, chosen topo.ServerID) route.Decision {
	for _, d := range ways {
		if d.Server == chosen {
			return d
		}
	}
	return ways[0]
}

// ways lists the decisions that the request may take: those that did not fail
// already and are not out, as long as there are any.
func (c *call) ways() []route.Decision {
	n := c.node
	var all, fresh []route.Decision
	for _, id := range n.live(c.service.Name) {
		d := route.Server(n.view, nil, n.self(), c.service.Name, id)
		if d.Path == route.PathWait || (c.from != nil && !c.mayTake(d)) {
			continue
		}
		all = append(all, d)
		if !slices.Contains(c.tried, id) && !n.out(keysOf(d)[0]) {
			fresh = append(fresh, d)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return all
}

// mayTake reports whether a forwarded request may take a way: this node's own,
// or that of a deputy to the server that the forwarding node chose.
func (c *call) mayTake(d route.Decision) bool {
	if d.Path == route.PathLocal {
		return true
	}
	return d.Server == c.chosen && c.deputize != "" && d.Lessor == c.deputize
}

// live lists the live servers of a service in order, once for each view.
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

// candidate describes one way. A picker that probes sees the exact loads, any
// other what the node knows.
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

// out reports whether something is known to be out.
func (n *node) out(key buffer.Key) bool {
	_, out := n.outages[key]
	return out
}

// remoteLoad is what a node knows of a server whose admission point is another
// node, as in the router's module: its own requests there, and what that node
// last said.
type remoteLoad struct {
	own   int
	heard float64
	at    time.Time
}

// heardFor is how long a load that an admission point told counts.
const heardFor = time.Second

func (r *remoteLoad) hear(now time.Time, load float64) { r.heard, r.at = load, now }

func (r *remoteLoad) load(now time.Time, limit int) float64 {
	own := float64(r.own) / float64(limit)
	age := now.Sub(r.at)
	if r.at.IsZero() || age > heardFor {
		return own
	}
	return max(own, r.heard*(1-float64(age)/float64(heardFor)))
}
