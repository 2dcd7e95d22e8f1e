package pool

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Load checks handle many nodes that rarely use each server, on machines whose pace changes several
// times a second: what an answer reported seconds ago says nothing of a server now. Before a
// request is sent, the node asks a few servers for their load, and sends it to the best of them.
// A check takes a few milliseconds, far less than requests take.
//
// Whether that fits is found out: servers that report the pace of their machine answer checks at
// once, and checks that are answered late stop for a while.
const (
	// checkedServers is the number of servers whose load is checked for a request.
	checkedServers = 2
	// ownerQueuePerSlot is the number of waiting requests for each slot of a key's owner from
	// which on a request waits at the node: there it can be refused as not run, while a full
	// server may reset its connection.
	ownerQueuePerSlot = 3
	// CheckTimeout is the time after which a check is late.
	CheckTimeout = 25 * time.Millisecond
	// maxLateShare is the share of late checks above which they stop for checkPause.
	maxLateShare = 0.6
	checkPause   = 5 * time.Second
	// lateWeight is the weight of one check in the share of late ones.
	lateWeight = 0.02
	// slowdownHalfLife is the half-life of the weight of a reported slowdown.
	slowdownHalfLife = 200 * time.Millisecond
	// meanSlowdownWeight is the weight of one report in the mean slowdown.
	meanSlowdownWeight = 0.01
)

// loadChecks is what a pool knows of checks at its servers.
type loadChecks struct {
	meanSlowdown float64 // over all reports; 0: none reports it
	lateShare    float64
	pausedUntil  time.Time
}

func (c *loadChecks) note(load site.Load) {
	switch {
	case load.Slowdown == 0:
	case c.meanSlowdown == 0:
		c.meanSlowdown = load.Slowdown
	default:
		c.meanSlowdown += meanSlowdownWeight * (load.Slowdown - c.meanSlowdown)
	}
}

// relativeSlowdown returns by how much longer than on average work takes at a server now.
func (c *loadChecks) relativeSlowdown(m *member, now time.Time) float64 {
	if c.meanSlowdown == 0 || m.slowdown == 0 {
		return 1
	}
	return 1 + (m.slowdown/c.meanSlowdown-1)*decay(now.Sub(m.reportAt), slowdownHalfLife)
}

// ChecksLoads reports whether checks fit the service at the moment.
func (p *Pool) ChecksLoads(now time.Time) bool {
	return p.loadChecks.meanSlowdown > 0 && !now.Before(p.loadChecks.pausedUntil)
}

// ServersToCheck returns random servers whose load should be checked before a request is sent, of
// the own zone or of the others. It returns none if checks do not fit the service.
func (p *Pool) ServersToCheck(w *Waiter, ofOwnZone bool, now time.Time) []site.Server {
	if !p.ChecksLoads(now) || len(p.queue) > 0 && !p.urgency.holds(now) {
		return nil
	}
	var servers []site.Server
	for _, i := range p.random.Perm(len(p.order)) {
		m := p.order[i]
		if len(servers) < checkedServers && (m.Zone == p.zone) == ofOwnZone && p.canSend(m, w, now) {
			servers = append(servers, m.Server)
		}
	}
	return servers
}

// NeedsMoreChecks reports whether no server checked so far is expected to answer well within the
// target, so that servers of other zones should be checked as well.
func (p *Pool) NeedsMoreChecks(w *Waiter, now time.Time) bool {
	if !p.ChecksLoads(now) {
		return false
	}
	m := p.pickChecked(w, now)
	return m == nil || p.expectedTime(m, w, now) >= ownZoneShare*w.Target.Sub(now).Seconds()
}

// HasLongQueue reports whether a server, by the report of a check, has so many waiting requests that
// a further one should wait at the node.
func HasLongQueue(load site.Load) bool {
	return load.Waiting >= ownerQueuePerSlot*max(load.Slots, 1)
}

// ExpectedTime returns how long a request is expected to take that has a slot at a server, its wait in
// the server's queue included.
func (p *Pool) ExpectedTime(id site.ServerID, now time.Time) time.Duration {
	m := p.members[id]
	if m == nil {
		return 0
	}
	return time.Duration(p.timeBehind(m, m.requests(now)-1, now) * float64(time.Second))
}

// RecordCheck records the answer to a load check with how much longer the server is cold, or that it
// was late.
func (p *Pool) RecordCheck(id site.ServerID, load *site.Load, warmUp time.Duration, late bool, now time.Time) {
	c := &p.loadChecks
	c.lateShare *= 1 - lateWeight
	if late {
		c.lateShare += lateWeight
	}
	if c.lateShare > maxLateShare {
		c.lateShare = 0
		c.pausedUntil = now.Add(checkPause)
	}
	m := p.members[id]
	if m == nil || load == nil {
		return
	}
	m.otherRequests = max(0, float64(load.Total()-m.inFlight()))
	m.reportAt = now
	p.noteReport(m, now)
	m.slowdown = load.Slowdown
	if warmUp > 0 {
		m.coldUntil = now.Add(warmUp)
	}
	c.note(*load)
}

// pickChecked returns the server that is expected to answer first among those whose load has just
// been checked, or nil if none has room.
func (p *Pool) pickChecked(w *Waiter, now time.Time) *member {
	return p.soonest(w, now, func(m *member) bool { return slices.Contains(w.Checked, m.ID) })
}
