package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/topo"
)

// gate runs one limit.Queue in virtual time: a node's admission of
// requests to one server.
type gate struct {
	node         *node
	queue        *limit.Queue
	server       topo.ServerID
	service      topo.Service
	waiting      map[uint64]func(*limit.Refusal)
	shed         uint64 // refused requests, for load reports
	reportedShed uint64 // part of shed that is already reported
}

func (n *node) gate(gates map[topo.ServerID]*gate, service topo.Service, id topo.ServerID, spec limit.Spec) *gate {
	g, exists := gates[id]
	if !exists {
		g = &gate{
			node: n, queue: limit.NewQueue(spec, n.warmSince()), server: id, service: service,
			waiting: map[uint64]func(*limit.Refusal){},
		}
		gates[id] = g
	}
	return g
}

// warmSince returns the time from which the ramp of a new gate is measured. In runs
// that start warm, the ramp of the initial gates is already complete.
func (n *node) warmSince() time.Time {
	if n.site.warmStart() {
		return epoch.Add(-gateRamp)
	}
	return n.site.clock.now
}

// acquire requests a slot and calls then with nil when it is granted, or with the
// refusal. The ID identifies the slot for release.
func (g *gate) acquire(c *call, then func(id uint64, refused *limit.Refusal)) {
	g.node.sequence++
	id := g.node.sequence
	entry := limit.Entry{ID: id, Caller: c.caller, Deadline: c.deadline, Hop: c.hop}
	g.waiting[id] = func(refused *limit.Refusal) { then(id, refused) }
	g.node.queued[g.service]++
	full := g.node.queued[g.service] > maxQueued
	g.apply(g.queue.Offer(g.now(), entry, full))
}

// release returns a slot.
func (g *gate) release(id uint64, result limit.Result) {
	g.apply(g.queue.Finish(g.now(), id, result))
}

func (g *gate) sweep() {
	if g.queue.Queued() > 0 {
		g.apply(g.queue.Sweep(g.now()))
	}
}

// apply continues the requests that were granted or refused.
func (g *gate) apply(changes limit.Changes) {
	for _, id := range changes.Granted {
		g.resolve(id, nil)
	}
	for i := range changes.Refused {
		g.shed++
		g.resolve(changes.Refused[i].ID, &changes.Refused[i].Refusal)
	}
}

func (g *gate) resolve(id uint64, refused *limit.Refusal) {
	then, waits := g.waiting[id]
	if !waits {
		return
	}
	delete(g.waiting, id)
	g.node.queued[g.service]--
	then(refused)
}

// load returns the requests in flight and queued, relative to the queue's window.
func (g *gate) load() float64 {
	held := g.queue.InFlight() + g.queue.Queued()
	return float64(held) / float64(g.queue.Window(g.now()))
}

func (g *gate) now() time.Time { return g.node.site.clock.now }
