package router

import (
	"context"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// acquireOwnerSlot waits for a slot at the server that owns the request's key. An owner
// that accepts no connection may have terminated, so the request waits for another owner
// for ownerTimeout or half of its remaining time, whichever is less. It does not wait if another
// node may reach the owner.
func (x *exchange) acquireOwnerSlot(ctx context.Context, w *pool.Waiter) (site.Server, *refusal) {
	giveUpAt := time.Now().Add(min(ownerTimeout, time.Until(x.deadline)/2))
	for {
		owner, problem := x.owner(ctx)
		if problem != nil {
			return site.Server{}, problem
		}
		w.OnlyServer, w.IsForColdKey = owner, x.isForColdKey()
		server, problem := x.waitForSlot(ctx, w)
		if problem == nil {
			isAdmitted, refused := x.admitToOwner(ctx, server)
			if isAdmitted {
				return server, nil
			}
			if refused == nil {
				continue
			}
			problem = refused
		}
		if problem.reason != string(pool.NoServer) {
			return server, problem
		}
		if !x.service.hasUsableServer() { // no other owner can be expected
			return site.Server{}, problem
		}
		if x.hasLeft(owner) {
			return site.Server{}, &refusal{status: http.StatusServiceUnavailable, reason: "owner of the key leaves", retryAfter: unreachableOwnerRetryAfter}
		}
		if _, hasPeer := x.nextPeer(); hasPeer && problem.isUnreachable || x.forwarded != nil && !x.forwarded.MayWait {
			return site.Server{}, problem
		}
		if time.Now().After(giveUpAt) {
			problem.retryAfter = unreachableOwnerRetryAfter
			return site.Server{}, problem
		}
		x.awaitViewChange(ctx)
		// Without this check, a request whose context has ended spins here without
		// blocking, 50,000 times in half a second, and starves other goroutines of CPU.
		if ctx.Err() != nil {
			return site.Server{}, problem
		}
	}
}

// hasLeft reports whether the owner of the key has said that it leaves, and may get no more requests for its keys.
// They move within that time unless the store is away, and then not before it is back.
func (x *exchange) hasLeft(owner site.ServerID) bool {
	server, isRegistered := x.router.state.Now().Registered()[owner]
	return isRegistered && !server.LeaveBy.IsZero() && !server.MayServe(true, time.Now())
}

// isOwner reports whether a server still owns and serves the request's key.
func (x *exchange) isOwner(server site.ServerID) bool {
	route, found := x.router.state.Now().RouteOf(x.service.name, x.key)
	return found && route.Server == server && route.State == ranges.Ready
}

// readyOwner returns the server that owns the request's key, and whether it serves it.
func (x *exchange) readyOwner() (site.ServerID, bool) {
	now := x.router.state.Now()
	route, found := now.RouteOf(x.service.name, x.key)
	isReady := found && route.State == ranges.Ready && !now.Restarted(route.Server)
	return route.Server, isReady
}

// owner returns the server that owns the request's key. It waits while the key is handed
// over, or until the key has been granted to the next incarnation of its owner.
func (x *exchange) owner(ctx context.Context) (site.ServerID, *refusal) {
	if x.attempts > 0 {
		x.awaitViewChange(ctx)
	}
	wait := time.NewTimer(min(ownerTimeout, time.Until(x.deadline)/2))
	defer wait.Stop()
	for {
		changed := x.router.state.Changed()
		now := x.router.state.Now()
		route, found := now.RouteOf(x.service.name, x.key)
		switch {
		case found && route.State == ranges.Ready && !now.Restarted(route.Server):
			return route.Server, nil
		case found && route.State == ranges.Unresponsive:
			left := route.Until.Sub(clock.Now())
			if left+x.meanTime() > time.Until(x.deadline) {
				return "", &refusal{status: http.StatusServiceUnavailable, reason: "owner of the key is silent", retryAfter: max(left, ownerRetryDelay)}
			}
			wait.Reset(left + reassignmentMargin)
		case x.service.allLeave(): // no other owner can be expected
			return "", &refusal{status: http.StatusServiceUnavailable, reason: "all servers leave", retryAfter: unreachableOwnerRetryAfter}
		}
		select {
		case <-changed:
		case <-wait.C:
			return "", &refusal{status: http.StatusServiceUnavailable, reason: "key has no owner", retryAfter: ownerRetryDelay}
		case <-ctx.Done():
			return "", &refusal{status: http.StatusServiceUnavailable, reason: "key has no owner", retryAfter: ownerRetryDelay}
		}
	}
}

// awaitViewChange waits for a change of the view, at most ownerRetryDelay, after the owner
// of a key refused a request.
func (x *exchange) awaitViewChange(ctx context.Context) {
	timer := time.NewTimer(ownerRetryDelay)
	defer timer.Stop()
	select {
	case <-x.router.state.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}
