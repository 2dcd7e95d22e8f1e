package ranges

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Site is the state of the site for which a plan is made.
type Site struct {
	Services map[site.ServiceName]site.Service
	Servers  map[site.ServerID]site.Server // currently registered
	Known    map[site.ServerID]site.Server // registered at any time
	// Writable is set if the store has recently accepted an append. If the store accepts no
	// append, a released range has no owner until the store accepts one again.
	Writable bool
	// Settled is set if no servers have recently been added to the registry. The keys of a
	// service without ranges are divided among the servers that are registered then.
	Settled bool
	Load    *Loads
}

// Change is a table to be appended, and the state changes that follow from it. They apply
// only if the append at the offset succeeds.
type Change struct {
	Table *Table
	apply []func()
}

// Plan decides which ranges change their owner or fence with the next append. fence is the
// offset of that append. It returns nil if none does. It also creates the ranges of a service
// that has none, and starts releases, which Calls then returns.
func (alloc *Allocator) Plan(s Site, fence Fence, now time.Time) *Change {
	change := &Change{}
	for _, restart := range alloc.incarnations.observe(s.Servers, now) {
		if s.Load != nil {
			s.Load.ForgetIncarnation(restart)
		}
	}
	maps.DeleteFunc(alloc.excludedUntil, func(_ site.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		if !s.Services[name].Keyed || !s.Writable {
			continue
		}
		servers := alloc.eligibleServers(s, name, now)
		if len(servers) == 0 {
			continue
		}
		if len(alloc.leases[name]) == 0 && !s.Settled {
			continue
		}
		if len(alloc.leases[name]) == 0 {
			alloc.createRanges(name, servers, now)
		}
		alloc.startReleases(name, s, servers, now)
		alloc.collectChanges(name, s, servers, fence, now, change)
		alloc.compact(name, s, fence, now, change)
	}
	if len(change.apply) == 0 {
		return nil
	}
	change.Table = alloc.tableWith(change)
	return change
}

// eligibleServers returns the servers of a service that may get ranges, sorted by ID.
// Servers that are crash looping or have recently not responded are included only if there
// are no others.
func (alloc *Allocator) eligibleServers(s Site, service site.ServiceName, now time.Time) []site.Server {
	var servers, fallback []site.Server
	for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
		server := s.Servers[id]
		switch {
		case server.Service != service || server.IsLeaving():
		case alloc.incarnations.isCrashLooping(id.Name(), now) || now.Before(alloc.excludedUntil[id]):
			fallback = append(fallback, server)
		default:
			servers = append(servers, server)
		}
	}
	if len(servers) == 0 {
		return fallback
	}
	return servers
}

// createRanges divides the keys of a service without ranges into one range per server, with
// lengths in proportion to the servers' slots.
func (alloc *Allocator) createRanges(service site.ServiceName, servers []site.Server, now time.Time) {
	slots := 0
	for _, server := range servers {
		slots += max(server.Slots, 1)
	}
	from, seen := Key(0), 0
	for _, server := range servers {
		seen += max(server.Slots, 1)
		to := Key(int(LastKey+1)*seen/slots) - 1
		l := &rangeState{Assignment: Assignment{Span: Span{From: from, To: to}}, service: service, next: server.ID, movedAt: now}
		alloc.leases[service] = append(alloc.leases[service], l)
		from = to + 1
	}
	alloc.serial++
}

// Moves returns the moves that were planned since the previous call.
func (alloc *Allocator) Moves() []Move {
	moves := alloc.moves
	alloc.moves = nil
	return moves
}

// startReleases starts to release the ranges of servers that are leaving, and the ranges
// that are moved to balance the load.
func (alloc *Allocator) startReleases(service site.ServiceName, s Site, servers []site.Server, now time.Time) {
	for _, l := range alloc.leases[service] {
		_, isEarlier := LaterIncarnation(s.Servers, l.Server)
		switch {
		case isEarlier:
			alloc.abandonOwner(l, s, servers, now)
		case l.canRelease(now) && l.leaving(s):
			alloc.startRelease(l, l.next, now)
		}
	}
	alloc.balance(service, s, servers, now)
}

// startRelease starts to release a range so that it moves to the server next, or to any
// server if next is empty.
func (alloc *Allocator) startRelease(l *rangeState, next site.ServerID, now time.Time) {
	l.next = next
	l.releaseAt = now.Add(releaseNotice)
	alloc.setPhase(l, releasing)
}

func (l *rangeState) leaving(s Site) bool {
	server, registered := s.Servers[l.Server]
	return l.Server != "" && (!registered || server.IsLeaving())
}

// split splits a range, and returns the states of the ranges of the span and of the remaining
// keys.
func (alloc *Allocator) split(l *rangeState, span Span) (cut *rangeState, rest []*rangeState) {
	if l.Span == span {
		return l, nil
	}
	part := func(from, to Key) *rangeState {
		copied := *l
		copied.Span = Span{From: from, To: to}
		copied.inFlight = slices.Clone(l.inFlight)
		return &copied
	}
	cut = part(span.From, span.To)
	if l.From < span.From {
		rest = append(rest, part(l.From, span.From-1))
	}
	if span.To < l.To {
		rest = append(rest, part(span.To+1, l.To))
	}
	leases := alloc.leases[l.service]
	index := slices.Index(leases, l)
	alloc.leases[l.service] = sortByKey(slices.Replace(leases, index, index+1, append(rest, cut)...))
	alloc.serial++
	return cut, rest
}

// collectChanges adds every range that can change now to the change.
func (alloc *Allocator) collectChanges(service site.ServiceName, s Site, servers []site.Server, fence Fence, now time.Time, change *Change) {
	placement := alloc.newPlacement(service, s, servers, now)
	for _, l := range alloc.leases[service] {
		switch {
		case l.callInFlight || l.appendPending:
		case l.Server == "" || l.phase == released:
			to := l.next
			if !slices.ContainsFunc(servers, func(server site.Server) bool { return server.ID == to }) {
				to = placement.best(l)
			}
			placement.add(to, l)
			alloc.change(change, l, Assignment{Span: l.Span, Server: to, Fence: fence, Handover: l.validHandover(s)}, now)
		case alloc.movesToSuccessor(l, s, servers, now):
			successor, _ := LaterIncarnation(s.Servers, l.Server)
			placement.add(successor.ID, l)
			alloc.change(change, l, Assignment{Span: l.Span, Server: successor.ID, Fence: fence}, now)
		case l.canReassign(s, now):
			to := placement.best(l)
			placement.add(to, l)
			alloc.change(change, l, Assignment{Span: l.Span, Server: to, Fence: fence}, now)
		case l.raiseFence:
			next := l.Assignment
			next.Fence = fence
			alloc.change(change, l, next, now)
		}
	}
}

// validHandover returns the handover that the owner returned with its release, or nothing
// if that incarnation, or the one that was to receive the range, has ended.
func (l *rangeState) validHandover(s Site) string {
	_, ownerEnded := LaterIncarnation(s.Servers, l.Server)
	_, nextEnded := LaterIncarnation(s.Servers, l.next)
	if ownerEnded || nextEnded {
		return ""
	}
	return l.handover
}

// canReassign reports whether the holds of an unresponsive, unregistered or draining owner
// have expired, or another server has the owner's address.
func (l *rangeState) canReassign(s Site, now time.Time) bool {
	if l.phase == releasing || l.phase == released {
		return false
	}
	return (l.phase == expiring || l.leaving(s)) && (!now.Before(l.inForceUntil()) || l.addressTaken(s, now))
}

// addressTaken reports whether a server with another name has the owner's address. The
// owner has then ended, and no call can reach a later incarnation of it there. A
// registry entry for a service that is not configured is ignored: it was written by a process
// that is not part of the site.
func (l *rangeState) addressTaken(s Site, now time.Time) bool {
	if now.Before(l.earlierInForceUntil()) {
		return false
	}
	owner, known := s.Known[l.Server]
	if _, registered := s.Servers[l.Server]; !known || registered {
		return false
	}
	for _, server := range s.Servers {
		_, isNamed := s.Services[server.Service]
		if isNamed && server.Address == owner.Address && server.ID.Name() != l.Server.Name() {
			return true
		}
	}
	return false
}

func (alloc *Allocator) change(change *Change, l *rangeState, next Assignment, now time.Time) {
	l.appendPending = true
	change.apply = append(change.apply, func() {
		*l = l.afterChange(next, now)
		alloc.serial++
	})
}

// afterChange returns the state of the range after a change. Grants that may be in force are
// carried over if the new owner is the same server or another incarnation of it. Otherwise
// none is in force: the range was released, its holds have expired, or it had no owner.
func (l *rangeState) afterChange(next Assignment, now time.Time) rangeState {
	c := rangeState{Assignment: next, service: l.service, movedAt: l.movedAt, surgeSince: l.surgeSince, surgeUntil: l.surgeUntil}
	c.heldUntil, c.inFlight, c.uncertainUntil = l.heldUntil, l.inFlight, l.uncertainUntil
	c.previousUntil, c.previousUncertainUntil, c.earlierIncarnationUntil = l.previousUntil, l.previousUncertainUntil, l.earlierInForceUntil()
	switch {
	case l.Server == next.Server:
		c.ownerKept = true
		c.handoverFrom = l.handoverFrom
	case l.Server.Name() == next.Server.Name():
		c.earlierIncarnationUntil = l.inForceUntil()
		c.movedAt = now
	default: // no grant is in force
		c.heldUntil, c.uncertainUntil, c.earlierIncarnationUntil = now, time.Time{}, time.Time{}
		c.inFlight = nil
		c.previousUntil, c.previousUncertainUntil = now, time.Time{}
		c.movedAt = now
		c.handoverFrom = l.Server
	}
	return c
}

// tableWith returns the table that results from a change, without applying the change.
func (alloc *Allocator) tableWith(change *Change) *Table {
	saved := make(map[*rangeState]rangeState)
	lists := make(map[site.ServiceName][]*rangeState, len(alloc.leases))
	for service, leases := range alloc.leases {
		lists[service] = slices.Clone(leases)
		for _, l := range leases {
			saved[l] = *l
		}
	}
	serial := alloc.serial
	for _, apply := range change.apply {
		apply()
	}
	table := alloc.Table()
	alloc.leases = lists
	for l, before := range saved {
		*l = before
	}
	alloc.serial = serial
	return table
}

// Table returns the current table.
func (alloc *Allocator) Table() *Table {
	table := &Table{Lessor: alloc.self, Services: map[site.ServiceName][]Assignment{}}
	for service, leases := range alloc.leases {
		for _, l := range leases {
			a := l.Assignment
			if l.confirmed {
				a.Handover = "" // the owner has received it
			}
			table.Services[service] = append(table.Services[service], a)
		}
	}
	return table
}

// Appended applies a change whose append succeeded.
func (alloc *Allocator) Appended(change *Change) {
	for _, apply := range change.apply {
		apply()
	}
}
