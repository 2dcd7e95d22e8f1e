package view

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// maxLeaving bounds the leaving servers that are kept. They are also kept after they have left the registry:
// an entry that expired while the store was away is back with it, and may still say that the server is ready.
const maxLeaving = 4000

// LeavingServer is an incarnation of a server that has said in an answer that it is about to end.
type LeavingServer struct {
	Server site.ServerID
	At     time.Time // when the answer arrived, by this node's clock
	From   string    // the node that received it, or the one that reported it
}

// Leaving holds the incarnations of servers that have said that they are about to end, in the order in which
// this node was notified. It is immutable. A server never takes that back.
type Leaving struct {
	first   uint64 // position of the first of servers
	servers []LeavingServer
	// keysUntil is the time, by this node's clock, until which each server gets requests for keys that it owns.
	keysUntil map[site.ServerID]time.Time
}

// Next returns the position after the newest server.
func (l Leaving) Next() uint64 { return l.first + uint64(len(l.servers)) }

// Since returns the servers from a position on.
func (l Leaving) Since(position uint64) []LeavingServer {
	if position <= l.first {
		return l.servers
	}
	return l.servers[min(position-l.first, uint64(len(l.servers))):]
}

// Contains reports whether an incarnation of a server is known to leave.
func (l Leaving) Contains(id site.ServerID) bool {
	_, isKnown := l.keysUntil[id]
	return isKnown
}

// with returns the list with more servers at its end.
func (l Leaving) with(added []LeavingServer, keysUntil time.Time) Leaving {
	next := Leaving{first: l.first, servers: slices.Concat(l.servers, added), keysUntil: maps.Clone(l.keysUntil)}
	if next.keysUntil == nil {
		next.keysUntil = map[site.ServerID]time.Time{}
	}
	for _, server := range added {
		next.keysUntil[server.Server] = keysUntil
	}
	if excess := len(next.servers) - maxLeaving; excess > 0 {
		for _, dropped := range next.servers[:excess] {
			delete(next.keysUntil, dropped.Server)
		}
		next.first += uint64(excess)
		next.servers = slices.Clone(next.servers[excess:])
	}
	return next
}

// SetDrainGrace sets how long a server that leaves still gets requests for keys that it owns, after this node
// knows of that, so that the keys move without a gap.
func (s *State) SetDrainGrace(grace time.Duration) { s.drainGrace.Store(int64(grace)) }

// MergeLeaving adds servers that have said that they leave, and returns those that were not known.
func (s *State) MergeLeaving(servers []LeavingServer) (added []LeavingServer) {
	isNew := func(v *View) bool {
		return slices.ContainsFunc(servers, func(l LeavingServer) bool { return !v.Leaving.Contains(l.Server) })
	}
	if !isNew(s.Now()) {
		return nil
	}
	keysUntil := time.Now().Add(time.Duration(s.drainGrace.Load()))
	s.update(func(next *View) bool {
		added = slices.DeleteFunc(slices.Clone(servers), func(l LeavingServer) bool { return next.Leaving.Contains(l.Server) })
		if len(added) == 0 {
			return false
		}
		next.Leaving = next.Leaving.with(added, keysUntil)
		next.markLeaving()
		touched := map[site.ServiceName]bool{}
		for _, l := range added {
			if server, isRegistered := next.registered[l.Server]; isRegistered {
				touched[server.Service] = true
			}
		}
		next.listServices(touched)
		return true
	})
	return added
}

// LeavingServers returns the registered servers that are about to end by their own answers, in order.
func (v *View) LeavingServers() []site.ServerID {
	ids := []site.ServerID{}
	for id := range v.Leaving.keysUntil {
		if _, isRegistered := v.registered[id]; isRegistered {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasRegisteredLeaving reports whether a registered server is about to end by its own answers. Others stay in the
// list long after they have ended.
func (v *View) hasRegisteredLeaving() bool {
	return slices.ContainsFunc(v.Leaving.servers, func(l LeavingServer) bool {
		_, isRegistered := v.Servers.Servers[l.Server]
		return isRegistered
	})
}

// markLeaving marks the registered servers that leave by their own answers, and those of evacuated zones.
func (v *View) markLeaving() {
	v.registered = v.Servers.Servers
	if len(v.Evacuation.Until) == 0 && !v.hasRegisteredLeaving() { // nearly always
		return
	}
	v.registered = make(map[site.ServerID]site.Server, len(v.Servers.Servers))
	for id, server := range v.Servers.Servers {
		server.EvacuateBy = v.Evacuation.Until[server.Zone]
		server.LeaveBy = v.Leaving.keysUntil[id]
		v.registered[id] = server
	}
}
