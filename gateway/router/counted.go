package router

import (
	"net/http"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// warmingRetryAfter is the Retry-After of a request whose key's owner is cold while the node that
// counts the owner's requests cannot be reached.
const warmingRetryAfter = 500 * time.Millisecond

// coldOwner returns the owner of the request's key if it is cold and takes only some requests a
// second.
func (x *exchange) countedOwner() (site.Server, bool) {
	if !x.keyed {
		return site.Server{}, false
	}
	id, isReady := x.readyOwner()
	if !isReady || !x.service.hasCounter(id) {
		return site.Server{}, false
	}
	server, isRegistered := x.router.state.Now().Registered()[id]
	return server, isRegistered
}

// isCounterOf reports whether this node counts the requests to a cold server, by its own list of
// members or by that of the node that forwarded the request.
func (x *exchange) isCounterOf(server site.Server) bool {
	return x.forwarded != nil && x.forwarded.Counted == server.ID || x.router.isCounter(server, x.router.state.Now().Members)
}

// isCounter reports whether this node counts the requests to a server while it is cold.
func (r *Router) isCounter(server site.Server, members []view.Member) bool {
	counter, found := ratelimit.Counter(server, members)
	return found && counter.Node == r.node
}

// forwardToCounter forwards the request to the node that counts the requests to the cold owner of
// its key. It returns the final result if that is not possible.
func (d *dispatch) forwardToCounter(owner site.Server) *result {
	x := d.x
	counter, found := ratelimit.Counter(owner, x.router.state.Now().Members)
	if !found || !x.mayForwardTo(counter) || d.caller.Err() != nil || x.callerDisconnected() || x.isQuarantined() {
		x.trace.note(string(owner.ID) + " is cold")
		end := x.giveUp(countedRefusal())
		return &end
	}
	x.countedServer = owner.ID
	d.forwardTo(counter)
	return nil
}

// mayForwardTo reports whether the request may still be forwarded to a node.
func (x *exchange) mayForwardTo(peer view.Member) bool {
	if x.router.forwarding == nil || x.forwarded != nil || x.isTrial {
		return false
	}
	return slices.Contains(x.forwardCandidates(), peer) && !slices.Contains(x.forwardedTo, peer.Boot)
}

func countedRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "owner of the key is warming up", retryAfter: warmingRetryAfter, isOverloaded: true}
}

// hasCounter reports whether a server is cold and takes only some requests a second.
func (s *service) hasCounter(id site.ServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HasCounter(id, time.Now())
}

// rateLimitsOf returns the limits on requests to cold servers of a service in a view.
func (r *Router) rateLimitsOf(name site.ServiceName, v *view.View) pool.RateLimits {
	if v.Config == nil || v.Config.Services[name].WarmUpRate == 0 {
		return pool.RateLimits{}
	}
	members := v.Members
	return pool.RateLimits{
		Rate:      v.Config.Services[name].WarmUpRate,
		IsCounter: func(server site.Server) bool { return r.isCounter(server, members) },
	}
}
