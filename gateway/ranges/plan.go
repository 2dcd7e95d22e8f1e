package ranges

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Site is what a plan is made for.
type Site struct {
	Services map[site.ServiceName]site.Service
	Servers  map[site.ServerID]site.Server // those registered now
	Known    map[site.ServerID]site.Server // those registered at any time
	// Writable tells that the store took an append lately. A range that is
	// released while it does not would have no owner until it does.
	Writable bool
	// Settled tells that the register has not grown lately. The keys of a
	// service without ranges are cut for the servers that are registered then.
	Settled bool
	Load    *Loads
}

// Change is a table to be appended, and what it changes. It holds only if the
// append at the offset succeeds.
type Change struct {
	Table *Table
	apply []func()
}

// Plan decides which ranges change their owner or fence by an append at an
// offset. It returns nil if none does. It also starts releases, which Calls
// returns afterwards.
func (k *Allocator) Plan(s Site, at Fence, now time.Time) *Change {
	change := &Change{}
	for _, restart := range k.runs.observe(s.Servers, now) {
		if s.Load != nil {
			s.Load.Restarted(restart)
		}
	}
	maps.DeleteFunc(k.silentUntil, func(_ site.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		if !s.Services[name].Keyed || !s.Writable {
			continue
		}
		servers := k.takers(s, name, now)
		if len(servers) == 0 {
			continue
		}
		if len(k.leases[name]) == 0 && !s.Settled {
			continue
		}
		if len(k.leases[name]) == 0 {
			k.createRanges(name, servers, now)
		}
		k.startReleases(name, s, servers, now)
		k.collect(name, s, servers, at, now, change)
		k.compact(name, s, at, now, change)
	}
	if len(change.apply) == 0 {
		return nil
	}
	change.Table = k.tableWith(change)
	return change
}

// takers returns the servers of a service that may get ranges, by ID. Those that
// keep starting again, and those that did not answer lately, are among them only if
// there are no others.
func (k *Allocator) takers(s Site, service site.ServiceName, now time.Time) []site.Server {
	var servers, doubtful []site.Server
	for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
		server := s.Servers[id]
		switch {
		case server.Service != service || server.Draining:
		case k.runs.loops(id.Name(), now) || now.Before(k.silentUntil[id]):
			doubtful = append(doubtful, server)
		default:
			servers = append(servers, server)
		}
	}
	if len(servers) == 0 {
		return doubtful
	}
	return servers
}

// createRanges cuts the keys of a service that has no ranges into one range for each
// server, as long as its slots say.
func (k *Allocator) createRanges(service site.ServiceName, servers []site.Server, now time.Time) {
	slots := 0
	for _, server := range servers {
		slots += max(server.Slots, 1)
	}
	from, seen := Key(0), 0
	for _, server := range servers {
		seen += max(server.Slots, 1)
		to := Key(int(LastKey+1)*seen/slots) - 1
		l := &lease{Assignment: Assignment{Span: Span{From: from, To: to}}, service: service, next: server.ID, movedAt: now}
		k.leases[service] = append(k.leases[service], l)
		from = to + 1
	}
	k.serial++
}

// Moves returns the moves that were planned since the last call.
func (k *Allocator) Moves() []Move {
	moves := k.moves
	k.moves = nil
	return moves
}

// startReleases begins to take ranges from servers that leave, and those that
// balance asks for.
func (k *Allocator) startReleases(service site.ServiceName, s Site, servers []site.Server, now time.Time) {
	for _, l := range k.leases[service] {
		_, isEarlier := LaterRun(s.Servers, l.Server)
		switch {
		case isEarlier:
			k.giveUpOn(l, s, servers, now)
		case l.canRelease(now) && l.leaving(s):
			k.startRelease(l, l.next, now)
		}
	}
	k.balance(service, s, servers, now)
}

// startRelease begins to take a range from its owner, for another one; empty: any.
func (k *Allocator) startRelease(l *lease, next site.ServerID, now time.Time) {
	l.next = next
	l.releaseAt = now.Add(releaseNotice)
	k.setPhase(l, releasing)
}

func (l *lease) leaving(s Site) bool {
	server, registered := s.Servers[l.Server]
	return l.Server != "" && (!registered || server.Draining)
}

// split cuts a span out of a lease and returns the lease of the span, and those of what
// is left.
func (k *Allocator) split(l *lease, span Span) (cut *lease, rest []*lease) {
	if l.Span == span {
		return l, nil
	}
	part := func(from, to Key) *lease {
		copied := *l
		copied.Span = Span{From: from, To: to}
		copied.flights = slices.Clone(l.flights)
		return &copied
	}
	cut = part(span.From, span.To)
	if l.From < span.From {
		rest = append(rest, part(l.From, span.From-1))
	}
	if span.To < l.To {
		rest = append(rest, part(span.To+1, l.To))
	}
	leases := k.leases[l.service]
	place := slices.Index(leases, l)
	k.leases[l.service] = sorted(slices.Replace(leases, place, place+1, append(rest, cut)...))
	k.serial++
	return cut, rest
}

// collect adds every range that can change now to the change.
func (k *Allocator) collect(service site.ServiceName, s Site, servers []site.Server, at Fence, now time.Time, change *Change) {
	spread := newSpread(k.leases[service], servers)
	for _, l := range k.leases[service] {
		switch {
		case l.calling || l.pending:
		case l.Server == "" || l.phase == released:
			to := l.next
			if !slices.ContainsFunc(servers, func(server site.Server) bool { return server.ID == to }) {
				to = spread.least()
			}
			spread.add(to, l.Keys())
			k.change(change, l, Assignment{Span: l.Span, Server: to, Fence: at, Handover: l.validHandover(s)}, now)
		case k.goesToHeir(l, s, servers, now):
			heir, _ := LaterRun(s.Servers, l.Server)
			spread.add(heir.ID, l.Keys())
			k.change(change, l, Assignment{Span: l.Span, Server: heir.ID, Fence: at}, now)
		case l.free(s, now):
			to := spread.least()
			spread.add(to, l.Keys())
			k.change(change, l, Assignment{Span: l.Span, Server: to, Fence: at}, now)
		case l.raised:
			next := l.Assignment
			next.Fence = at
			k.change(change, l, next, now)
		}
	}
}

// validHandover returns what the owner gave with its release, unless the run that
// gave it, or the one that was to get it, has ended.
func (l *lease) validHandover(s Site) string {
	_, giverEnded := LaterRun(s.Servers, l.Server)
	_, takerEnded := LaterRun(s.Servers, l.next)
	if giverEnded || takerEnded {
		return ""
	}
	return l.handover
}

// free reports whether the holds of a silent or vanished owner have run out.
func (l *lease) free(s Site, now time.Time) bool {
	if l.phase == releasing || l.phase == released {
		return false
	}
	return (l.phase == lapsing || l.leaving(s)) && (!now.Before(l.held()) || l.replaced(s, now))
}

// replaced reports whether a server of another name has the owner's address: then
// the owner has ended, and no call reaches a later run of it there. An entry of a
// service that no configuration names comes from another writer, and proves nothing.
func (l *lease) replaced(s Site, now time.Time) bool {
	if now.Before(l.earlier()) {
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

func (k *Allocator) change(change *Change, l *lease, next Assignment, now time.Time) {
	l.pending = true
	change.apply = append(change.apply, func() {
		*l = l.changed(next, now)
		k.serial++
	})
}

// changed returns the lease after a change. What may be in force at the owner goes
// on to count as long as its name stays.
func (l *lease) changed(next Assignment, now time.Time) lease {
	c := lease{Assignment: next, service: l.service, movedAt: l.movedAt, surgeSince: l.surgeSince, surgeUntil: l.surgeUntil}
	c.heldUntil, c.flights, c.doubtUntil = l.heldUntil, l.flights, l.doubtUntil
	c.formerUntil, c.formerDoubt, c.earlierUntil = l.formerUntil, l.formerDoubt, l.earlier()
	switch {
	case l.Server == next.Server:
		c.kept = true
		c.giver = l.giver
	case l.Server.Name() == next.Server.Name():
		c.earlierUntil = l.held()
		c.movedAt = now
	default: // nobody holds it: released, lapsed or never owned
		c.heldUntil, c.doubtUntil, c.earlierUntil = now, time.Time{}, time.Time{}
		c.flights = nil
		c.formerUntil, c.formerDoubt = now, time.Time{}
		c.movedAt = now
		c.giver = l.Server
	}
	return c
}

// tableWith returns the table as it is after a change, without applying it.
func (k *Allocator) tableWith(change *Change) *Table {
	saved := make(map[*lease]lease)
	lists := make(map[site.ServiceName][]*lease, len(k.leases))
	for service, leases := range k.leases {
		lists[service] = slices.Clone(leases)
		for _, l := range leases {
			saved[l] = *l
		}
	}
	serial := k.serial
	for _, apply := range change.apply {
		apply()
	}
	table := k.Table()
	k.leases = lists
	for l, before := range saved {
		*l = before
	}
	k.serial = serial
	return table
}

// Table returns the present table.
func (k *Allocator) Table() *Table {
	table := &Table{Lessor: k.self, Services: map[site.ServiceName][]Assignment{}}
	for service, leases := range k.leases {
		for _, l := range leases {
			a := l.Assignment
			if l.confirmed {
				a.Handover = "" // the owner has it
			}
			table.Services[service] = append(table.Services[service], a)
		}
	}
	return table
}

// Appended applies a change whose append succeeded.
func (k *Allocator) Appended(change *Change) {
	for _, apply := range change.apply {
		apply()
	}
}

// spread counts the keys of each server, so that ranges without a load go to
// the server with the fewest.
type spread struct {
	order []site.ServerID
	keys  map[site.ServerID]int
	slots map[site.ServerID]int
}

func newSpread(leases []*lease, servers []site.Server) *spread {
	s := &spread{keys: map[site.ServerID]int{}, slots: map[site.ServerID]int{}}
	for _, server := range servers {
		s.order = append(s.order, server.ID)
		s.slots[server.ID] = max(server.Slots, 1)
	}
	for _, l := range leases {
		if l.phase == granting {
			s.keys[l.Server] += l.Keys()
		}
	}
	return s
}

func (s *spread) add(server site.ServerID, keys int) { s.keys[server] += keys }

func (s *spread) least() site.ServerID {
	return slices.MinFunc(s.order, func(a, b site.ServerID) int {
		return s.keys[a]*s.slots[b] - s.keys[b]*s.slots[a]
	})
}
