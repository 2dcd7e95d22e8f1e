package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A server that starts again under its name holds nothing and has forgotten every
// fence. Calls that were sent to an earlier run, and late ones that nobody has
// answered, may be carried out by the next one, which passes for the server that
// they name. So what may be in force is counted by name, not by run:
//
//   - A range goes to the next run of its owner at once, under a higher fence. No
//     wait is needed, since all that is under way can reach only that run; and the
//     holds that may be in force go on to count.
//   - A later run is no proof that the keys are free for another server.
//   - A range changes to another name only when every grant without an answer has run
//     out. That a higher fence was answered shuts such a grant out no longer once the
//     server has started again.
const (
	// A server that has started again restartsOfLoop times within loopWindow loses
	// its keys to others: it would be slow with them each time, and with the next
	// start they have no owner until the register tells. That is longer than the
	// move of a range takes after its holds have run out, and than a server is slow
	// after its start.
	crashLoopRestarts = 2
	crashLoopWindow   = 15 * time.Second
)

// incarnations follows the present run of every server in the register.
type incarnations struct {
	current    map[site.ServerName]site.ServerID
	restarts   map[site.ServerName][]time.Time // the latest, restartsOfLoop at most
	unreported []Restart
}

// Restart is a server that has started again under its name, for the log.
type Restart struct {
	From, To site.ServerID
	Loops    bool // it loses its keys
}

func newIncarnations() incarnations {
	return incarnations{current: map[site.ServerName]site.ServerID{}, restarts: map[site.ServerName][]time.Time{}}
}

// observe takes the register as it is now and returns the servers that have
// started again.
func (r *incarnations) observe(registered map[site.ServerID]site.Server, now time.Time) []Restart {
	var restarts []Restart
	for id := range registered {
		name := id.Name()
		before, isKnown := r.current[name]
		if _, isRegistered := registered[before]; isKnown && isRegistered {
			continue
		}
		r.current[name] = id
		if !isKnown || before == id {
			continue
		}
		r.recordRestart(name, now)
		restarts = append(restarts, Restart{From: before, To: id, Loops: r.isCrashLooping(name, now)})
	}
	r.unreported = append(r.unreported, restarts...)
	return restarts
}

func (r *incarnations) recordRestart(name site.ServerName, now time.Time) {
	times := r.restarts[name]
	if len(times) >= crashLoopRestarts {
		times = times[1:]
	}
	r.restarts[name] = append(slices.Clone(times), now)
}

// isCrashLooping reports whether a server keeps starting again.
func (r *incarnations) isCrashLooping(name site.ServerName, now time.Time) bool {
	times := r.restarts[name]
	return len(times) >= crashLoopRestarts && now.Sub(times[0]) < crashLoopWindow
}

// LaterRun returns the run that is registered in place of another one of the same
// name.
func LaterRun(registered map[site.ServerID]site.Server, id site.ServerID) (site.Server, bool) {
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

// movesToSuccessor reports whether a range goes at once to the run that has taken the
// place of its owner. One that keeps starting again gets nothing while others can
// serve the keys.
func (alloc *Allocator) movesToSuccessor(l *lease, s Site, eligible []site.Server, now time.Time) bool {
	successor, exists := LaterRun(s.Servers, l.Server)
	if !exists || successor.Service != l.service {
		return false
	}
	isOther := func(server site.Server) bool { return server.ID.Name() != successor.ID.Name() }
	return !alloc.incarnations.isCrashLooping(successor.ID.Name(), now) || !slices.ContainsFunc(eligible, isOther)
}

// abandonOwner ends what is under way with an owner whose place another run has taken:
// nothing is sent to it any more. What does not go to that run waits for its holds.
func (alloc *Allocator) abandonOwner(l *lease, s Site, eligible []site.Server, now time.Time) {
	switch {
	case l.callInFlight || l.appendPending || l.phase == released:
	case alloc.movesToSuccessor(l, s, eligible, now):
		alloc.setPhase(l, granting)
	default:
		alloc.setPhase(l, expiring)
	}
}

// Restarts returns the servers that have started again since the last call.
func (alloc *Allocator) Restarts() []Restart {
	news := alloc.incarnations.unreported
	alloc.incarnations.unreported = nil
	return news
}
