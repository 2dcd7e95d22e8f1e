package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A server that restarts under its name holds nothing and has forgotten every fence. Calls
// that were sent to an earlier incarnation, and late calls without a response, may be
// executed by the next one, which is addressed as the same server. Grants that may be in
// force are therefore tracked by name, not by incarnation:
//
//   - A range moves to the next incarnation of its owner at once, under a higher fence. No
//     wait is needed, since all calls in flight can reach only that incarnation. The holds
//     that may be in force remain recorded.
//   - A later incarnation does not prove that the keys are free for another server.
//   - A range moves to another name only when every grant without a response has expired.
//     An answer under a higher fence does not exclude such a grant any more once the
//     server has restarted.
const (
	// A server that has restarted crashLoopRestarts times within crashLoopWindow loses its
	// keys to others: it would be slow with them each time, and after the next restart they
	// have no owner until the registry shows the new incarnation. That takes longer than
	// the move of a range after its holds have expired, and longer than a server is slow
	// after its start.
	crashLoopRestarts = 2
	crashLoopWindow   = 15 * time.Second
)

// incarnations tracks the current incarnation of every server in the registry.
type incarnations struct {
	current    map[site.ServerName]site.ServerID
	restarts   map[site.ServerName][]time.Time // the latest crashLoopRestarts at most
	unreported []Restart
}

// Restart describes a restart of a server under its name, for the log.
type Restart struct {
	From, To     site.ServerID
	CrashLooping bool // the server loses its keys
}

func newIncarnations() incarnations {
	return incarnations{current: map[site.ServerName]site.ServerID{}, restarts: map[site.ServerName][]time.Time{}}
}

// observe processes the current registry and returns the restarts since the previous call.
func (inc *incarnations) observe(registered map[site.ServerID]site.Server, now time.Time) []Restart {
	var restarts []Restart
	for id := range registered {
		name := id.Name()
		before, isKnown := inc.current[name]
		if _, isRegistered := registered[before]; isKnown && isRegistered {
			continue
		}
		inc.current[name] = id
		if !isKnown || before == id {
			continue
		}
		inc.recordRestart(name, now)
		restarts = append(restarts, Restart{From: before, To: id, CrashLooping: inc.isCrashLooping(name, now)})
	}
	inc.unreported = append(inc.unreported, restarts...)
	return restarts
}

func (inc *incarnations) recordRestart(name site.ServerName, now time.Time) {
	times := inc.restarts[name]
	if len(times) >= crashLoopRestarts {
		times = times[1:]
	}
	inc.restarts[name] = append(slices.Clone(times), now)
}

// isCrashLooping reports whether a server restarts repeatedly.
func (inc *incarnations) isCrashLooping(name site.ServerName, now time.Time) bool {
	times := inc.restarts[name]
	return len(times) >= crashLoopRestarts && now.Sub(times[0]) < crashLoopWindow
}

// LaterIncarnation returns the incarnation that is registered in place of an earlier one with the
// same name.
func LaterIncarnation(registered map[site.ServerID]site.Server, id site.ServerID) (site.Server, bool) {
	if id == "" {
		return site.Server{}, false
	}
	if _, isRegistered := registered[id]; isRegistered {
		return site.Server{}, false
	}
	for other, server := range registered {
		if other.Name() == id.Name() {
			return server, true
		}
	}
	return site.Server{}, false
}

// movesToSuccessor reports whether a range moves at once to the incarnation that has
// replaced its owner. A server that is crash looping gets nothing while others can serve
// the keys.
func (alloc *Allocator) movesToSuccessor(l *rangeState, s Site, eligible []site.Server, now time.Time) bool {
	successor, exists := LaterIncarnation(s.Servers, l.Server)
	if !exists || successor.Service != l.service {
		return false
	}
	isOther := func(server site.Server) bool { return server.ID.Name() != successor.ID.Name() }
	return !alloc.incarnations.isCrashLooping(successor.ID.Name(), now) || !slices.ContainsFunc(eligible, isOther)
}

// abandonOwner ends the operations with an owner that another incarnation has replaced: no
// more calls are sent to it. A range that does not move to that incarnation waits for its
// holds to expire.
func (alloc *Allocator) abandonOwner(l *rangeState, s Site, eligible []site.Server, now time.Time) {
	switch {
	case l.callInFlight || l.appendPending || l.phase == released:
	case alloc.movesToSuccessor(l, s, eligible, now):
		alloc.setPhase(l, granting)
	default:
		alloc.setPhase(l, expiring)
	}
}

// Restarts returns the restarts of servers since the previous call.
func (alloc *Allocator) Restarts() []Restart {
	restarts := alloc.incarnations.unreported
	alloc.incarnations.unreported = nil
	return restarts
}
