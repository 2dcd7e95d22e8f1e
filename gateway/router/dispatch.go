package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// hedgeFactor is the multiple of the mean service time after which an idempotent
	// request without an answer is also sent to a second server.
	hedgeFactor = 3.0
	// hedgeTargetShare is the least share of the latency objective that passes before a hedge.
	hedgeTargetShare = 0.6
	// hedgeRetryInterval is how often a request whose server accepts no connection asks for a
	// slot at another server. It is about the interval between changes of the view.
	hedgeRetryInterval = 100 * time.Millisecond
	// probeFactor is the multiple of the mean service time without an answer after which
	// the server is probed with a new connection; minProbeDelay is the least delay.
	probeFactor   = 2.0
	minProbeDelay = 250 * time.Millisecond
)

// dispatch tracks the attempts of one request that are in flight. An attempt is not canceled
// because its server is unresponsive or accepts no connection: the server may be running the
// request, and its answer is still valid for the caller. The request is hedged instead.
type dispatch struct {
	x           *exchange
	ctx         context.Context // canceling it cancels all attempts
	caller      context.Context // done when the caller has left or its time has passed
	results     chan attemptResult
	inFlight    int
	lastServer  site.Server      // of the most recent attempt at a server
	lastTarget  string           // server or node of the most recent attempt, for the trace
	hedgeTimer  <-chan time.Time // fires when to send a hedge; nil: never
	probeTimer  <-chan time.Time // fires when to probe lastServer; nil: never
	probeResult <-chan bool      // receives whether lastServer is unreachable; nil: no probe
}

func newDispatch(ctx, caller context.Context, x *exchange) *dispatch {
	return &dispatch{x: x, ctx: ctx, caller: caller, results: make(chan attemptResult, maxAttempts+maxForwards+1)}
}

// sendTo sends the request to a server. The slot is released when the attempt ends.
func (d *dispatch) sendTo(server site.Server) {
	x := d.x
	if !x.retryTakenAt.IsZero() {
		x.service.postponeRetry(x.retryTakenAt)
		x.retryTakenAt = time.Time{}
	}
	x.sends++
	x.attempts++
	if !slices.Contains(x.tried, server.ID) {
		x.tried = append(x.tried, server.ID)
	}
	x.noteSpeed(server)
	request := x.request
	request.Remaining = time.Until(x.deadline)
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
	d.lastTarget = string(server.ID)
	d.hedgeTimer = x.hedgeTimer()
	d.probeTimer = x.probeTimer()
	d.probeResult = nil
}

// abandonTimeout bounds the wait for attempts to end after their context has.
const abandonTimeout = 50 * time.Millisecond

// end returns the result of a request whose time has passed while attempts were in flight. Their
// context has ended, so they end at once: an attempt that was still connecting has not run, and an
// answer that was ready is delivered.
func (d *dispatch) end() result {
	x := d.x
	step := "not connected to " + d.lastTarget + " yet"
	timeout := time.NewTimer(abandonTimeout)
	defer timeout.Stop()
	for d.inFlight > 0 {
		select {
		case attempt := <-d.results:
			d.inFlight--
			if attempt.err == nil && x.isFinal(attempt) {
				return x.finalResult(attempt)
			}
			if attempt.err == nil || !wasSent(attempt.err) {
				continue
			}
		case <-timeout.C:
			d.inFlight = 0
		}
		x.mayHaveRun = true
		step = "sent to " + d.lastTarget + ", no answer yet"
	}
	x.trace.note(step)
	return x.giveUp(&refusal{status: http.StatusServiceUnavailable, reason: "timeout", retryAfter: ownerRetryDelay})
}

// sendHedge sends the request to a second server if a slot is free, or by way of another node
// if this one is partitioned, and if there is room for a second large answer. Otherwise it tries
// again after hedgeRetryInterval if the first server accepts no connection.
func (d *dispatch) sendHedge() {
	d.hedgeTimer = nil
	if !d.x.mayHedge() {
		return
	}
	if d.x.takeHedgeRoom() {
		if d.trySendHedge() {
			return
		}
		d.x.cancelHedgeRoom()
	}
	if d.probeResult != nil {
		d.hedgeTimer = time.After(hedgeRetryInterval)
	}
}

// trySendHedge reports whether the request could be sent once more.
func (d *dispatch) trySendHedge() bool {
	if d.x.isPartitioned() && d.forwardNext() {
		return true
	}
	server, found := d.x.acquireHedgeSlot(d.lastServer)
	if found {
		d.sendTo(server)
	}
	return found
}

// probe opens a connection to the server that is slow to answer, in the background.
func (d *dispatch) probe() {
	d.probeTimer = nil
	probeResult := make(chan bool, 1)
	d.probeResult = probeResult
	server := d.lastServer
	go func() { probeResult <- d.x.router.unreachable(d.ctx, d.x.service, server) }()
}

// handleProbe handles the result of a probe. An unreachable server triggers a hedge at once.
func (d *dispatch) handleProbe(isUnreachable bool) {
	if !isUnreachable {
		d.probeResult = nil
		return
	}
	d.x.trace.note(string(d.lastServer.ID) + " takes no connection")
	d.hedgeTimer = time.After(0)
}

// hedgeTimer returns a channel that fires when to send an idempotent request to a second
// server, or nil for never.
func (x *exchange) hedgeTimer() <-chan time.Time {
	if x.keyed || x.route.Kind != site.Idempotent || !x.mayHedge() {
		return nil
	}
	usual := time.Duration(hedgeFactor * float64(x.meanTime()))
	least := time.Duration(hedgeTargetShare * float64(x.route.Target))
	return time.After(max(usual, least))
}

// probeTimer returns a channel that fires when to probe the server of an idempotent
// request, or nil for never. An at-most-once request waits for its answer until its
// deadline.
func (x *exchange) probeTimer() <-chan time.Time {
	if x.route.Kind != site.Idempotent {
		return nil
	}
	return time.After(max(minProbeDelay, time.Duration(probeFactor*float64(x.meanTime()))))
}

// mayHedge reports whether the request may be sent once more while attempts are in flight.
// The route's Attempts bound the servers of a request; a key has only one server.
func (x *exchange) mayHedge() bool {
	return x.attempts < maxAttempts && (x.keyed || x.sends < x.route.Attempts)
}

// acquireHedgeSlot returns a slot at a second server if one is free, the retry budget allows
// it and the caller still waits. For a key, the second server is its new owner, once that is
// a server other than the unresponsive one.
func (x *exchange) acquireHedgeSlot(unresponsive site.Server) (site.Server, bool) {
	if x.callerDisconnected() || x.isQuarantined() {
		return site.Server{}, false
	}
	w := x.waiter()
	if x.keyed {
		owner, found := x.readyOwner()
		if !found || owner == unresponsive.ID {
			return site.Server{}, false
		}
		w.OnlyServer = owner
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
