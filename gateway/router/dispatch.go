package router

import (
	"context"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// hedgeFactor is after how many usual times an idempotent request without an
	// answer is also sent to a second server.
	hedgeFactor = 3.0
	// hedgeTargetShare is the least share of the latency objective before that.
	hedgeTargetShare = 0.6
	// hedgeRetryInterval is how long a request whose server takes no connection waits before
	// it looks again for a place elsewhere: views change about as often.
	hedgeRetryInterval = 100 * time.Millisecond
	// probeFactor is after how many usual times without an answer a new
	// connection to the server is tried, and leastSuspect the least time.
	probeFactor   = 2.0
	minProbeDelay = 250 * time.Millisecond
)

// dispatch holds the sends of one request that are under way. None is given up because its
// server is silent or takes no connection: the server may be at work on it, and its
// answer is still the caller's. What helps the caller is another send beside it.
type dispatch struct {
	x           *exchange
	ctx         context.Context // its end gives all up
	results     chan attemptResult
	inFlight    int
	lastServer  site.Server      // that the latest went to
	hedgeTimer  <-chan time.Time // when to send beside them; nil: never
	probeTimer  <-chan time.Time // when to look whether the last server can be reached; nil: never
	probeResult <-chan bool      // tells whether it cannot
}

func newDispatch(ctx context.Context, x *exchange) *dispatch {
	return &dispatch{x: x, ctx: ctx, results: make(chan attemptResult, maxAttempts+1)}
}

// sendTo sends the request to a server. The place is given back when it ends.
func (d *dispatch) sendTo(server site.Server) {
	x := d.x
	x.sends++
	x.attempts++
	if !slices.Contains(x.tried, server.ID) {
		x.tried = append(x.tried, server.ID)
	}
	request := x.request
	request.Left = time.Until(x.deadline)
	request.Fresh = x.route.Kind == site.AtMostOnce
	go func() {
		startedAt := time.Now()
		answer, err := x.router.client.Send(d.ctx, server, &request)
		outcome := attemptResult{server: server, answer: answer, err: err, duration: time.Since(startedAt)}
		x.service.releaseSlot(server, x.poolOutcome(d.ctx, outcome))
		d.results <- outcome
	}()
	d.inFlight++
	d.lastServer = server
	d.hedgeTimer = x.hedgeTimer()
	d.probeTimer = x.probeTimer()
	d.probeResult = nil
}

// sendHedge sends the request to a second server if there is a place, and looks
// again for one if the first server takes no connection.
func (d *dispatch) sendHedge() {
	d.hedgeTimer = nil
	if !d.x.mayHedge() {
		return
	}
	server, found := d.x.acquireHedgeSlot(d.lastServer)
	switch {
	case found:
		d.sendTo(server)
	case d.probeResult != nil:
		d.hedgeTimer = time.After(hedgeRetryInterval)
	}
}

// probe opens a connection to the server that is slow to answer.
func (d *dispatch) probe() {
	d.probeTimer = nil
	probeResult := make(chan bool, 1)
	d.probeResult = probeResult
	server := d.lastServer
	go func() { probeResult <- d.x.router.unreachable(d.ctx, d.x.service, server) }()
}

// handleProbe takes whether the server took no connection.
func (d *dispatch) handleProbe(isUnreachable bool) {
	if !isUnreachable {
		d.probeResult = nil
		return
	}
	d.x.trace.note(string(d.lastServer.ID) + " takes no connection")
	d.hedgeTimer = time.After(0)
}

// hedgeTimer returns when to send an idempotent request to a second server; nil
// for never.
func (x *exchange) hedgeTimer() <-chan time.Time {
	if x.keyed || x.route.Kind != site.Idempotent || !x.mayHedge() {
		return nil
	}
	usual := time.Duration(hedgeFactor * float64(x.service.typicalTime()))
	least := time.Duration(hedgeTargetShare * float64(x.route.Target))
	return time.After(max(usual, least))
}

// probeTimer returns when to look whether the server of an idempotent request
// can still be reached; nil for never. A request that must not run twice waits
// for its answer as long as its time allows.
func (x *exchange) probeTimer() <-chan time.Time {
	if x.route.Kind != site.Idempotent {
		return nil
	}
	return time.After(max(minProbeDelay, time.Duration(probeFactor*float64(x.service.typicalTime()))))
}

// mayHedge reports whether the request may be sent once more beside the sends that are
// under way. The route's attempts bound the servers of a request; a key has one.
func (x *exchange) mayHedge() bool {
	return x.attempts < maxAttempts && (x.keyed || x.sends < x.route.Attempts)
}

// acquireHedgeSlot returns a place at a second server if one is free, the budget allows it
// and the caller still waits. For a key that is its next owner, once it has another
// one than the server that is silent.
func (x *exchange) acquireHedgeSlot(unresponsive site.Server) (site.Server, bool) {
	if x.callerDisconnected() {
		return site.Server{}, false
	}
	w := x.waiter()
	if x.keyed {
		owner, found := x.readyOwner()
		if !found || owner == unresponsive.ID {
			return site.Server{}, false
		}
		w.Only = owner
	}
	server, ok := x.service.tryRequestSlot(w)
	if !ok {
		return site.Server{}, false
	}
	if !x.service.spendRetry() {
		x.service.releaseSlot(server, pool.Outcome{Abandoned: true})
		return site.Server{}, false
	}
	return server, true
}
