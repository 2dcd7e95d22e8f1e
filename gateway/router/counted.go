package router

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// countedRetryAfter is the Retry-After of a request whose server has a limit, while the node that counts
// the requests to it cannot be reached.
const countedRetryAfter = 500 * time.Millisecond

// countedOwner returns the owner of the request's key if only some nodes count the requests to it and
// send any, and this is none of them.
func (x *exchange) countedOwner() (site.Server, bool) {
	if !x.keyed {
		return site.Server{}, false
	}
	id, isReady := x.readyOwner()
	if !isReady || x.service.counters(id) == 0 {
		return site.Server{}, false
	}
	server, isRegistered := x.router.state.Now().Registered()[id]
	if !isRegistered || x.isCounterOf(server) {
		return site.Server{}, false
	}
	x.service.noteLeft(id)
	return server, true
}

// isCounterOf reports whether this node counts the requests to a server, by its own list of
// members or by that of the node that forwarded the request. A partitioned node leaves them to the next.
func (x *exchange) isCounterOf(server site.Server) bool {
	if x.forwarded != nil && x.forwarded.Counted == server.ID {
		return true
	}
	return !x.isPartitioned() && x.router.isCounter(server, x.router.state.Now().Members, x.service.counters(server.ID))
}

// isCounter reports whether this node is one of a number of nodes that count the requests to a server.
func (r *Router) isCounter(server site.Server, members []view.Member, count int) bool {
	if count == 1 {
		counter, found := ratelimit.Counter(server, members)
		return found && counter.Node == r.node
	}
	return slices.ContainsFunc(ratelimit.Counters(server, members, count), func(m view.Member) bool { return m.Node == r.node })
}

// forwardToCounter forwards the request to a node that counts the requests to a server. It returns the
// final result if that is not possible.
func (d *dispatch) forwardToCounter(server site.Server) *result {
	x := d.x
	counter, found := x.pickCounter(server)
	if !found || d.caller.Err() != nil || x.callerDisconnected() || x.isQuarantined() {
		x.trace.note(string(server.ID) + " has a limit, and no node that counts can be reached")
		end := x.giveUp(x.countedRefusal(server.ID))
		return &end
	}
	x.countedServer = server.ID
	d.forwardTo(counter)
	return nil
}

// forwardToCounterOf does the same for a server that the pool has named.
func (d *dispatch) forwardToCounterOf(id site.ServerID) *result {
	server, isRegistered := d.x.router.state.Now().Registered()[id]
	if !isRegistered {
		end := d.x.giveUp(d.x.countedRefusal(id))
		return &end
	}
	return d.forwardToCounter(server)
}

// pickCounter returns one of the nodes that count the requests to a server, to which the request may
// still be forwarded. The next nodes count in place of those that are partitioned from the servers.
func (x *exchange) pickCounter(server site.Server) (view.Member, bool) {
	members := x.router.state.Now().Members
	count := x.service.counters(server.ID) + x.partitionedPeers
	if x.isPartitioned() && x.router.isCounter(server, members, count) {
		count++
	}
	counters := ratelimit.Counters(server, members, count)
	counters = slices.DeleteFunc(counters, func(m view.Member) bool { return m.Node == x.router.node || !x.mayForwardTo(m) })
	if len(counters) == 0 {
		return view.Member{}, false
	}
	return counters[rand.IntN(len(counters))], true
}

// mayForwardTo reports whether the request may still be forwarded to a node.
func (x *exchange) mayForwardTo(peer view.Member) bool {
	if x.router.forwarding == nil || x.forwarded != nil || x.isTrial || x.forwards >= maxForwards {
		return false
	}
	return slices.Contains(x.forwardCandidates(), peer) && !slices.Contains(x.forwardedTo, peer.Boot)
}

// countedRefusal refuses a request for a server that gets requests from another node only.
func (x *exchange) countedRefusal(server site.ServerID) *refusal {
	reason := string(pool.Limited)
	if x.service.isLimitedCold(server) {
		reason = "owner of the key is warming up"
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: countedRetryAfter, isOverloaded: true}
}

// isLimitedCold reports whether a server is cold and takes only some requests a second.
func (s *service) isLimitedCold(id site.ServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsLimitedCold(id, time.Now())
}

// noteLeft records that a request for a server is left to the nodes that count.
func (s *service) noteLeft(id site.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.NoteLeft(id, time.Now())
}

// counters returns how many nodes count the requests to a server and send any; 0: all nodes may.
func (s *service) counters(id site.ServerID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Counters(id, time.Now())
}

// rateLimitsOf returns the limits on requests to servers of a service in a view.
func (r *Router) rateLimitsOf(name site.ServiceName, v *view.View) pool.RateLimits {
	members := v.Members
	limits := pool.RateLimits{
		Named:     func(id site.ServerID) (site.NamedLimit, bool) { return v.Limits.Of(name, id) },
		IsCounter: func(server site.Server, count int) bool { return r.isCounter(server, members, count) },
	}
	if v.Config != nil {
		limits.ColdRate = v.Config.Services[name].WarmUpRate
	}
	return limits
}
