package ranges

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// worldServer holds keys like a backend server: until the arrival of a grant plus the hold,
// by a clock that is 2 % slow. A new incarnation knows nothing of earlier ones.
type worldServer struct {
	site.Server  // the current incarnation
	up           bool
	restartsAt   time.Time // when it restarts, or crashes while it is up; zero: never
	restartsLeft int       // number of further crashes soon after a start
	highest      [sampleCount]Fence
	heldUntil    [sampleCount]time.Time
	highestHeld  [sampleCount]Fence // highest under which any of its incarnations held a key
	// registered is its entry in the registry, which is updated some time after a start.
	registered   site.Server
	isRegistered bool
	registersAt  time.Time
}

func (w *world) addServer() {
	name := site.ServerName(fmt.Sprintf("s%d", len(w.servers)))
	address := string(name)
	if taken := w.freeAddress(); taken != "" && w.random.IntN(2) == 0 {
		address = taken
	}
	server := &worldServer{Server: site.Server{ID: site.IncarnationID(name, w.now), Service: worldService, Slots: 4, Address: address}, up: true}
	w.servers[name] = server
	server.register(w)
}

// freeAddress returns the address of a server that is permanently gone, or "".
func (w *world) freeAddress() string {
	used := map[string]bool{}
	for _, s := range w.servers {
		used[s.Address] = used[s.Address] || s.up || !s.restartsAt.IsZero()
	}
	for _, name := range slices.Sorted(maps.Keys(w.servers)) {
		if address := w.servers[name].Address; !used[address] {
			return address
		}
	}
	return ""
}

// register puts the current incarnation into the registry.
func (s *worldServer) register(w *world) {
	s.registered, s.isRegistered, s.registersAt = s.Server, true, time.Time{}
	w.known[s.ID] = s.Server
}

// crash ends an incarnation. The next one starts soon, usually at the same address, and may
// crash soon after its start.
func (s *worldServer) crash(w *world) {
	s.up = false
	s.restartsAt = w.randomTime(800 * time.Millisecond)
	s.restartsLeft = max(s.restartsLeft-1, 0)
	if s.restartsLeft == 0 && w.random.IntN(4) == 0 {
		s.restartsLeft = 1 + w.random.IntN(3)
	}
}

// start starts the next incarnation of a server.
func (s *worldServer) start(w *world) {
	w.restarts++
	next := s.Server
	next.ID = site.IncarnationID(s.ID.Name(), w.now)
	next.Draining = w.random.IntN(12) == 0
	if w.random.IntN(5) == 0 {
		next.Address = fmt.Sprint(next.ID)
	}
	*s = worldServer{Server: next, up: true, restartsLeft: s.restartsLeft, highestHeld: s.highestHeld, registered: s.registered, isRegistered: s.isRegistered}
	s.registersAt = w.randomTime(1500 * time.Millisecond)
	if s.restartsLeft > 0 {
		s.restartsAt = w.randomTime(3 * time.Second) // when it crashes again
	}
}

// advanceServers starts, crashes and registers the servers that are due.
func (w *world) advanceServers() {
	for _, name := range slices.Sorted(maps.Keys(w.servers)) {
		s := w.servers[name]
		if !s.restartsAt.IsZero() && !w.now.Before(s.restartsAt) {
			if s.up {
				s.crash(w)
			} else {
				s.start(w)
			}
		}
		if s.up && !s.registersAt.IsZero() && !w.now.Before(s.registersAt) {
			s.register(w)
		}
		if !s.up && s.restartsAt.IsZero() {
			s.isRegistered = false
		}
	}
}

// registered returns the servers in the registry, including draining ones and earlier
// incarnations of those that have just restarted.
func (w *world) registered() map[site.ServerID]site.Server {
	list := map[site.ServerID]site.Server{}
	for _, s := range w.servers {
		if s.isRegistered {
			list[s.registered.ID] = s.registered
		}
	}
	return list
}

// execute executes a call at the incarnation that is at its address now.
func (w *world) execute(c *worldCall) {
	server := w.servers[c.call.Server.Name()]
	if !server.up || server.Address != c.address {
		return
	}
	fenced := server.execute(c, w.now)
	if !fenced && !c.call.Release {
		w.checkFences(server, c.call.Grant)
	}
	if c.answered && !c.abandoned {
		c.abandoned = true
		c.node.done(c.call, Result{Fenced: fenced, Handover: "h"}, w.now)
	}
}

// checkFences records a fault if a server has taken a key under a fence that is not above
// every fence under which other servers held it.
func (w *world) checkFences(server *worldServer, grant Grant) {
	for i := range sampleCount {
		if !grant.Contains(sampleKey(i)) || !w.now.Before(server.heldUntil[i]) {
			continue // expired before it was executed
		}
		server.highestHeld[i] = max(server.highestHeld[i], grant.Fence)
		for name, other := range w.servers {
			if other != server && other.highestHeld[i] >= grant.Fence {
				w.fault = fmt.Sprintf("key %d is taken by %v under fence %d, and %v had it under %d", sampleKey(i), server.ID, grant.Fence, name, other.highestHeld[i])
			}
		}
	}
}

// execute executes a call and reports whether a higher fence was seen.
func (s *worldServer) execute(c *worldCall, now time.Time) (fenced bool) {
	grant := c.call.Grant
	for i := range sampleCount {
		if grant.Contains(sampleKey(i)) && s.highest[i] > grant.Fence {
			fenced = true
		}
	}
	for i := range sampleCount {
		if !grant.Contains(sampleKey(i)) {
			continue
		}
		if c.call.Release {
			if s.highest[i] <= grant.Fence && s.heldUntil[i].After(now) {
				s.heldUntil[i] = now
			}
			continue
		}
		if fenced {
			continue
		}
		s.highest[i] = grant.Fence
		s.heldUntil[i] = c.arrivesAt.Add(time.Duration(float64(grant.Hold) * (1 + clockDrift)))
	}
	return fenced
}
