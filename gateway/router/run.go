package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// minTimeShare is the share of the mean service time that must remain until the deadline
	// for a request to keep waiting: many requests take less than the mean.
	minTimeShare = 0.5
	// ownerRetryDelay bounds the wait for a view change after the owner of a key refused a
	// request, and is the Retry-After of requests for a key without an owner.
	ownerRetryDelay = 250 * time.Millisecond
	// ownerTimeout bounds how long a request waits for the next owner of its key. A
	// handover ends when the requests in flight for the key have ended.
	ownerTimeout = time.Second
	// reassignmentMargin is added to the time after which the keys of an unresponsive
	// owner are reassigned, for the append to the log and the grant.
	reassignmentMargin = 200 * time.Millisecond
	// unreachableOwnerRetryAfter is the Retry-After of a request whose key's owner accepts
	// no connection: the lessor waits for the owner's hold to expire.
	unreachableOwnerRetryAfter = 1500 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including those that reached no
	// server and those during a handover of its key.
	maxAttempts = 4
)

// result is the outcome of an exchange.
type result struct {
	answer  *upstream.Answer // from a server
	refusal *refusal         // the request has not run
	failure string           // why there is no answer to a request that may have run
	// callerDisconnected reports that the caller no longer waits for an answer.
	callerDisconnected bool
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	server   site.Server
	peer     *view.Member // the node to which the request was forwarded; nil: sent to server
	answer   *upstream.Answer
	err      error
	duration time.Duration
}

// run makes attempts until there is a final answer or no further attempt is possible.
func (x *exchange) run(ctx context.Context) result {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if problem := x.acquireRoom(ctx); problem != nil {
		return result{refusal: problem}
	}
	d := newDispatch(sendCtx, ctx, x)
	for {
		if d.inFlight == 0 {
			if end := d.sendNext(); end != nil {
				return *end
			}
		}
		select {
		case attempt := <-d.results:
			d.inFlight--
			if x.isFinal(attempt) {
				return x.finalResult(attempt)
			}
		case <-d.hedgeTimer:
			d.sendHedge()
		case <-d.probeTimer:
			d.probe()
		case isUnreachable := <-d.probeResult:
			d.handleProbe(isUnreachable)
		case <-ctx.Done():
			return d.end()
		}
	}
}

// acquireSlotToSend waits for a slot and keeps it only if the caller still waits for the
// answer: a slot may become free at the moment when the request is canceled, and a request
// sent then would be reset at once.
func (x *exchange) acquireSlotToSend(ctx context.Context) (site.Server, *result) {
	if !x.maySend() {
		end := x.giveUp(crashRefusal)
		return site.Server{}, &end
	}
	server, problem := x.acquireSlot(ctx)
	x.isUnreachable = problem != nil && problem.isUnreachable
	x.limitedServer = ""
	if problem != nil {
		x.limitedServer = problem.countedServer
	}
	if problem != nil {
		end := x.giveUp(problem)
		return site.Server{}, &end
	}
	if !x.isTrial && x.isQuarantined() { // since the request waited for the slot
		x.service.releaseSlot(server, pool.Outcome{Abandoned: true})
		end := x.giveUp(crashRefusal)
		return site.Server{}, &end
	}
	if x.callerDisconnected() {
		x.service.releaseSlot(server, pool.Outcome{Abandoned: true})
		return site.Server{}, &result{callerDisconnected: true}
	}
	if ctx.Err() != nil {
		x.service.releaseSlot(server, pool.Outcome{Abandoned: true})
		end := x.giveUp(waitTimeoutRefusal(x.meanTime()))
		return site.Server{}, &end
	}
	return server, nil
}

// poolOutcome returns the outcome of an attempt as the pool needs it.
func (x *exchange) poolOutcome(ctx context.Context, attempt attemptResult) pool.Outcome {
	if attempt.err != nil {
		var attemptErr *upstream.AttemptError
		isOver := ctx.Err() != nil
		isAttempt := errors.As(attempt.err, &attemptErr)
		if rest, isResting := restLeft(attempt.err); isResting {
			return pool.Outcome{Took: attempt.duration, Abandoned: true, Rest: rest}
		}
		if isAttempt && attemptErr.Rejected {
			return pool.Outcome{Took: attempt.duration, NoCapacity: !isOver, Abandoned: isOver}
		}
		var memoryErr *upstream.AnswerMemoryError
		if errors.As(attempt.err, &memoryErr) { // the server is not at fault
			return pool.Outcome{Took: attempt.duration, Abandoned: true}
		}
		return pool.Outcome{
			Route:      x.route.Name,
			Took:       attempt.duration,
			Failed:     !isOver,
			Reset:      !isOver && errors.Is(attempt.err, syscall.ECONNRESET),
			NotReached: !isOver && isAttempt && !attemptErr.Sent,
			Abandoned:  isOver,
		}
	}
	x.reportResponse(attempt)
	isMisdirected := attempt.answer.Status == http.StatusMisdirectedRequest
	return pool.Outcome{
		Route:      x.route.Name,
		Took:       attempt.duration,
		Connect:    attempt.answer.ConnectTime,
		Load:       attempt.answer.Load,
		Failed:     attempt.answer.Status >= http.StatusInternalServerError && !attempt.answer.NotRun,
		NoCapacity: attempt.answer.NotRun && !isMisdirected,
		Abandoned:  isMisdirected,
		Rest:       attempt.answer.Rest,
	}
}

// isResting reports whether a request was not sent because its server rests.
func isResting(err error) bool {
	_, isResting := restLeft(err)
	return isResting
}

// restLeft returns for how long the server of an attempt still rests, and whether the request was not sent
// because of that. The rest may just have ended.
func restLeft(err error) (left time.Duration, isResting bool) {
	var resting *upstream.RestingError
	if !errors.As(err, &resting) {
		return 0, false
	}
	return max(time.Until(resting.Until), 0), true
}

// reportResponse reports the answer of a server to the lessor: of a keyed service, and on a mixed site of every service and
// by route. There, errors of servers are left out as in the pool: a server that fails at once would look fast and be used more.
func (x *exchange) reportResponse(attempt attemptResult) {
	answer := attempt.answer
	switch {
	case answer.NotRun:
	case x.view.Guidance.IsMixedAt(time.Now()):
		if answer.Status >= http.StatusInternalServerError {
			return
		}
		x.router.reports.NoteRouteResponse(attempt.server.ID, x.route.Name, attempt.duration-answer.ConnectTime, serviceTime(attempt), answer.Load)
	case x.keyed:
		x.router.reports.NoteResponse(attempt.server.ID, serviceTime(attempt), answer.Load)
	}
}

// serviceTime estimates how long a server ran a request, without the time to open a connection
// and without its wait in the server's queue. It assumes that the queue was as long at the arrival
// of the request as at its end.
func serviceTime(attempt attemptResult) time.Duration {
	answered := attempt.duration - attempt.answer.ConnectTime
	load := attempt.answer.Load
	if load == nil || load.Slots == 0 {
		return answered
	}
	return time.Duration(float64(answered) / (1 + float64(load.Waiting)/float64(load.Slots)))
}

// isFinal records the result of an attempt and reports whether the request is done.
func (x *exchange) isFinal(attempt attemptResult) bool {
	x.trace.noteAttempt(attempt)
	if attempt.peer != nil {
		return x.isForwardFinal(attempt)
	}
	x.noteConnectionEnd(attempt)
	if attempt.err != nil {
		if wasSent(attempt.err) {
			x.mayHaveRun = true
		} else {
			x.sends-- // it has not reached the server and caused no extra load there
			if !isResting(attempt.err) {
				x.unreached = append(x.unreached, attempt.server.ID)
			}
		}
		return x.route.Kind == site.AtMostOnce && x.mayHaveRun
	}
	if attempt.answer.NotRun {
		return false
	}
	x.mayHaveRun = true
	if attempt.answer.Status < http.StatusInternalServerError {
		x.noteAnswered()
	}
	if attempt.answer.Status < http.StatusInternalServerError || x.route.Kind == site.AtMostOnce {
		return true
	}
	x.lastAnswer = attempt.answer
	return false
}

func (x *exchange) finalResult(attempt attemptResult) result {
	if attempt.peer != nil && x.peerFailure != "" {
		return result{failure: x.peerFailure}
	}
	if attempt.err != nil {
		return result{failure: "connection to the server lost"}
	}
	return result{answer: attempt.answer}
}

// giveUp returns the best available result when no further attempt is made.
func (x *exchange) giveUp(problem *refusal) result {
	if x.lastAnswer != nil {
		return result{answer: x.lastAnswer}
	}
	if x.mayHaveRun {
		return result{failure: problem.reason}
	}
	return result{refusal: problem}
}

// wasSent reports whether a failed attempt may have reached its target.
func wasSent(err error) bool {
	var attemptErr *upstream.AttemptError
	return !errors.As(err, &attemptErr) || attemptErr.Sent
}

// acquireSlot waits for a slot at a server that may run the request.
func (x *exchange) acquireSlot(ctx context.Context) (site.Server, *refusal) {
	if problem := x.retryRefusal(); problem != nil {
		return site.Server{}, problem
	}
	w := x.waiter()
	if !x.keyed {
		x.checkLoads(ctx, w)
		return x.waitForSlot(ctx, w)
	}
	return x.acquireOwnerSlot(ctx, w)
}

// waitForSlot requests a slot and waits for it. The wait ends if the request can no longer
// be answered in time, or if its key has a new owner.
func (x *exchange) waitForSlot(ctx context.Context, w *pool.Waiter) (site.Server, *refusal) {
	askedAt := time.Now()
	server, results, denied := x.service.requestSlot(w)
	x.noteAdmission(w, denied)
	if denied != nil {
		return site.Server{}, x.refusedBy(w, denied)
	}
	if results == nil {
		return server, nil
	}
	meanServiceTime := x.meanTime()
	tooLate := time.NewTimer(time.Until(x.deadline) - time.Duration(minTimeShare*float64(meanServiceTime)))
	defer tooLate.Stop()
	for {
		changed := x.router.state.Changed()
		if x.keyed && !x.isOwner(w.OnlyServer) {
			x.service.cancelWait(w, results)
			x.noteWait(time.Since(askedAt))
			return x.acquireSlot(ctx)
		}
		select {
		case p := <-results:
			x.noteWait(time.Since(askedAt))
			if p.refusal != nil {
				return site.Server{}, x.refusedBy(w, p.refusal)
			}
			return p.server, nil
		case <-changed:
			x.router.refreshView()
		case <-tooLate.C:
			x.service.cancelWait(w, results)
			return site.Server{}, waitTimeoutRefusal(meanServiceTime)
		case <-ctx.Done():
			x.service.cancelWait(w, results)
			return site.Server{}, waitTimeoutRefusal(meanServiceTime)
		}
	}
}

// noteWait records how long the request waited for a slot.
func (x *exchange) noteWait(d time.Duration) {
	x.trace.noteWait(d)
	waits.record(string(x.service.name), d)
}

// waitTimeoutRefusal returns the refusal of a request that got no slot in time.
func waitTimeoutRefusal(meanServiceTime time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "waited in vain", retryAfter: meanServiceTime, isScheduled: true}
}

// refusedBy converts a refusal of the pool, and records the share that caused it.
func (x *exchange) refusedBy(w *pool.Waiter, r *pool.Refusal) *refusal {
	if r.Reason == pool.OverShare {
		told := time.Since(x.router.state.Now().Shares.ReceivedAt)
		x.trace.note(string(w.OnlyServer) + " gets " + strconv.FormatFloat(r.Share, 'g', 2, 64) + " of the requests for its keys, told " + milliseconds(told) + " ago")
	}
	if r.Reason == pool.BeyondAdmission {
		x.traceAdmission(r)
	}
	x.notePromise(r.Promise)
	return &refusal{
		status:        http.StatusServiceUnavailable,
		reason:        string(r.Reason),
		retryAfter:    r.RetryAfter,
		isUnreachable: r.Reason == pool.NoServer && (r.IsUnreachable || len(x.unreached) > 0),
		isOverloaded:  r.Reason == pool.WaitTooLong || r.Reason == pool.QueueFull || r.Reason == pool.Limited,
		countedServer: r.CountedServer,
	}
}

// retryRefusal returns why a request must not be attempted again, or nil if it may.
func (x *exchange) retryRefusal() *refusal {
	if x.attempts == 0 {
		return nil
	}
	if refused := x.service.refuseRetry(x.waiterForRetry()); refused != nil {
		return x.refusedBy(nil, refused)
	}
	retryAfter := x.meanTime()
	if x.keyed && x.attempts >= maxAttempts {
		return &refusal{status: http.StatusServiceUnavailable, reason: "key is changing hands", retryAfter: retryAfter, isUnreachable: x.sends == 0}
	}
	if !x.keyed && (x.sends >= max(x.route.Attempts, 1) || x.attempts >= maxAttempts) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "attempts spent", retryAfter: retryAfter, isScheduled: true, isUnreachable: x.sends == 0}
	}
	if x.sends == 0 {
		return nil
	}
	if !x.service.spendRetry() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "retry budget spent", retryAfter: 2 * retryAfter, isScheduled: true}
	}
	x.retryTakenAt = time.Now()
	return nil
}

// waiterForRetry returns the request as it would wait for another attempt: for the owner of its key, as of now.
func (x *exchange) waiterForRetry() *pool.Waiter {
	w := x.waiter()
	if x.keyed {
		w.OnlyServer, _ = x.readyOwner()
	}
	return w
}

func (x *exchange) waiter() *pool.Waiter {
	w := &pool.Waiter{Route: x.route.Name, Priority: x.route.Priority, ArrivedAt: x.arrived, Target: x.target, Deadline: x.deadline, Tried: x.tried, AtMostOnce: x.route.Kind == site.AtMostOnce, ChargedToShare: x.attempts > 0, Waited: x.returned}
	w.ChargedToAdmission = x.attempts > 0 || x.forwarded != nil || x.isAdmitted
	w.MayRunIn = x.mayRunIn()
	if x.forwarded != nil {
		w.CountedServer = x.forwarded.Counted
	}
	return w
}
