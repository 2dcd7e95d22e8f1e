package engine

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// planning is the planner role, which the first node that is up holds.
type planning struct {
	site      *site
	reporting planner.Reporting
	tracker   *planner.Tracker
	collector *load.Collector
	random    *rand.Rand
	holder    *node
	assigning int // assignment records whose outcome is not known yet
	settling  bool
}

// changed schedules a planner decision planSettle after a new view.
func (p *planning) changed(n *node) {
	if p.settling || p.node() != n {
		return
	}
	p.settling = true
	p.site.clock.after(planSettle, func() {
		p.settling = false
		p.decide()
	})
}

func newPlanning(s *site, random *rand.Rand) *planning {
	p := &planning{
		site:      s,
		reporting: planner.ReportingFor(len(s.deployment.Zones) * s.deployment.EntryPerZone),
		random:    random,
	}
	p.reset()
	return p
}

// reset discards the state of the role.
func (p *planning) reset() {
	p.tracker = planner.NewTracker()
	p.collector = load.NewCollector(p.reporting.MaxAge())
}

// node returns the holder of the role. A new holder starts without state.
func (p *planning) node() *node {
	for _, n := range p.site.nodeList {
		if !n.up {
			continue
		}
		if p.holder != nil && p.holder != n {
			p.reset()
		}
		p.holder = n
		return n
	}
	return nil
}

// report sends every node's observations to the planner.
func (p *planning) report() {
	to := p.node()
	if to == nil {
		return
	}
	clock := p.site.clock
	for _, n := range p.site.nodeList {
		if !n.up {
			continue
		}
		n.countShed()
		n.table.Expire(clock.now)
		report := n.table.Report(clock.now, p.reporting.MaxBytes)
		p.site.measure.reported += proto.Size(report)
		report.Sender = &bspb.Sender{Node: string(n.id), Boot: string(n.boot), Zone: string(n.zone)}
		clock.after(p.site.delay(n.zone, to.zone), func() { p.collector.Add(clock.now, report) })
	}
}

// countShed adds the requests that the gates refused since the previous call.
func (n *node) countShed() {
	for _, id := range sortedKeys(n.gates) {
		g := n.gates[id]
		n.table.Shed(n.site.clock.now, id, g.shed-g.reportedShed)
		g.reportedShed = g.shed
	}
}

// decide computes one plan and executes it.
func (p *planning) decide() {
	n := p.node()
	if n == nil || n.view == nil || n.view.Site() == nil || p.assigning > 0 {
		return
	}
	now := p.site.clock.now
	probed := &countingPolicy{Policy: p.site.options.Policy}
	plan := planner.Decide(&planner.Input{
		Now:      now,
		View:     n.view,
		Policy:   probed,
		Tracker:  p.tracker,
		Snapshot: func(service topo.Service) load.Snapshot { return p.collector.Snapshot(now, service) },
		Rand:     p.random,
	})
	p.site.measure.planned(probed)
	for _, rec := range planner.Records(plan.Assign, "unowned") {
		p.assigning++
		p.site.log.append(n, rec, func(state.Result) { p.assigning-- })
	}
	for i := range plan.Requests {
		p.request(n, &plan.Requests[i])
	}
}

// request sends moves to the lessor of their shards' owners.
func (p *planning) request(n *node, request *planner.Request) {
	p.tracker.Started(request, p.site.clock.now)
	group, _ := n.view.Group(request.Group)
	to, exists := p.site.nodes[group.Lessor]
	if !exists || !to.up {
		p.tracker.Failed(request, p.site.clock.now)
		return
	}
	moves := make([]lessor.Move, 0, len(request.Moves))
	for _, move := range request.Moves {
		moves = append(moves, moveOf(move))
	}
	delay := p.site.delay(n.zone, to.zone)
	p.site.clock.after(delay, func() {
		if !to.up {
			return
		}
		accepted := to.member(request.Group).move(moves)
		p.site.measure.accepted += accepted
		p.site.clock.after(delay, func() {
			if accepted == 0 {
				p.tracker.Failed(request, p.site.clock.now)
			}
		})
	})
}
