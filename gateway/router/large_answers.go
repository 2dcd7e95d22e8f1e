package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/transfer"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

const (
	// stallTimeout is for how long the write of a large answer may make no progress.
	stallTimeout = 5 * time.Second
	// stalledReason is the reason in the log line of a request whose caller has stopped reading.
	stalledReason = "caller does not read its answer"
	// roomCheckInterval is how often waiting requests are considered for room: answers that are read slowly take less of the
	// link over time. It is below a service time.
	roomCheckInterval = 100 * time.Millisecond
)

// StallLimiter is a Caller whose connection ends when a write to it makes no progress.
type StallLimiter interface {
	// LimitStalls sets for how long writes of the current request may make no progress. Such a write fails with a
	// *StalledError.
	LimitStalls(timeout time.Duration)
}

// StalledError reports a write that made no progress, because the other end did not read.
type StalledError struct{ After time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return "nothing was read for " + e.After.String() }

// largeAnswers bounds the large answers that the node has in flight, of all services.
type largeAnswers struct {
	mu      sync.Mutex
	bounds  *transfer.Bounds
	waiting map[*transfer.Request]chan *transfer.Refusal // receives nil when there is room
	counted int64                                        // bytes in the metric
	// checkTimer fires when waiting requests are next considered for room; nil: none wait.
	checkTimer *time.Timer
}

func newLargeAnswers(limits transfer.Limits) *largeAnswers {
	return &largeAnswers{bounds: transfer.New(limits, newRandom()), waiting: map[*transfer.Request]chan *transfer.Refusal{}}
}

// LargeAnswers is the state of a node's large answers, for the state dump.
type LargeAnswers struct {
	InFlight int   `json:"inFlight"`
	Bytes    int64 `json:"bytes"`   // that they take, expected ones until an answer is there
	Waiting  int   `json:"waiting"` // requests that wait for room
}

// LargeAnswers returns the state of the node's large answers.
func (r *Router) LargeAnswers() LargeAnswers {
	l := r.largeAnswers
	l.mu.Lock()
	defer l.mu.Unlock()
	return LargeAnswers{InFlight: l.bounds.InFlight(), Bytes: l.bounds.Bytes(), Waiting: l.bounds.Waiting()}
}

// submit requests room. It returns nil and nil if there is room.
func (l *largeAnswers) submit(r *transfer.Request) (<-chan *transfer.Refusal, *transfer.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reason, refusal := l.bounds.Submit(r, time.Now())
	if reason == "" {
		l.count()
		return nil, refusal
	}
	largeAnswersWaited.Add(string(reason), 1)
	result := make(chan *transfer.Refusal, 1)
	l.waiting[r] = result
	l.deliver() // requests behind it may now be too late
	return result, nil
}

// deliver tells waiting requests that there is room, or that it would come too late. l.mu must be held.
func (l *largeAnswers) deliver() {
	admitted, refused := l.bounds.Next(time.Now())
	for _, r := range admitted {
		l.waiting[r] <- nil
		delete(l.waiting, r)
	}
	for _, refusal := range refused {
		l.waiting[refusal.Request] <- refusal
		delete(l.waiting, refusal.Request)
	}
	l.count()
	if len(l.waiting) > 0 && l.checkTimer == nil {
		l.checkTimer = time.AfterFunc(roomCheckInterval, l.check)
	}
}

// check considers waiting requests for room. It is called again while requests wait.
func (l *largeAnswers) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkTimer = nil
	l.deliver()
}

// count updates the metric of bytes, which sums up all nodes of the process. l.mu must be held.
func (l *largeAnswers) count() {
	largeAnswerBytes.Add(l.bounds.Bytes() - l.counted)
	l.counted = l.bounds.Bytes()
}

// release ends a request's wait, or takes back its room.
func (l *largeAnswers) release(r *transfer.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, r)
	l.bounds.Release(r, time.Now())
	l.deliver()
}

// giveUp ends a request's wait.
func (l *largeAnswers) giveUp(r *transfer.Request) *transfer.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, r)
	refusal := l.bounds.GiveUp(r, time.Now())
	l.deliver()
	return refusal
}

func (l *largeAnswers) received(r *transfer.Request, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.Received(r, bytes, time.Now())
	l.deliver()
}

func (l *largeAnswers) latestStart(r *transfer.Request) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bounds.LatestStart(r)
}

// acquireRoom waits until the node has room for the answer of a request for a large one. The request keeps it until
// releaseRoom, after its answer has been written.
func (x *exchange) acquireRoom(ctx context.Context) *refusal {
	if !x.route.LargeAnswers {
		return nil
	}
	x.room = &transfer.Request{Route: x.route.Name, Priority: x.route.Priority, ArrivedAt: x.arrived, Deadline: x.deadline, Objective: x.route.Target}
	all := x.router.largeAnswers
	result, denied := all.submit(x.room)
	if denied != nil {
		return x.refusedRoom(denied)
	}
	if result == nil {
		return nil
	}
	askedAt := time.Now()
	tooLate := time.NewTimer(time.Until(all.latestStart(x.room)))
	defer tooLate.Stop()
	select {
	case denied := <-result:
		x.trace.note("waited " + milliseconds(time.Since(askedAt)) + " for room for a large answer")
		if denied != nil {
			return x.refusedRoom(denied)
		}
		return nil
	case <-tooLate.C:
	case <-ctx.Done():
	}
	x.trace.note("waited " + milliseconds(time.Since(askedAt)) + " for room for a large answer, in vain")
	return x.refusedRoom(all.giveUp(x.room))
}

func (x *exchange) refusedRoom(r *transfer.Refusal) *refusal {
	largeAnswersRefused.Add(string(r.Reason), 1)
	return &refusal{status: http.StatusServiceUnavailable, reason: string(r.Reason), retryAfter: r.RetryAfter, isOverloaded: true}
}

// releaseRoom gives back the request's room for a large answer, if it has any.
func (x *exchange) releaseRoom() {
	if x.room != nil {
		x.router.largeAnswers.release(x.room)
	}
}

// noteAnswerSize records the size of the answer that the caller gets. Errors tell nothing of the next answers.
func (x *exchange) noteAnswerSize(a *upstream.Answer) {
	if x.room != nil && a.Status < http.StatusBadRequest {
		x.router.largeAnswers.received(x.room, int64(len(a.Body)))
	}
}

// takeHedgeRoom takes room for the answer to a second attempt, and reports whether the request needs none or has got it.
func (x *exchange) takeHedgeRoom() bool {
	if x.room == nil {
		return true
	}
	l := x.router.largeAnswers
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.count()
	return l.bounds.TryHedge(x.room, time.Now())
}

// cancelHedgeRoom gives it back if the attempt was not made.
func (x *exchange) cancelHedgeRoom() {
	if x.room == nil {
		return
	}
	l := x.router.largeAnswers
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds.CancelHedge(x.room)
	l.deliver()
}

// writeBody writes the body of a response. The write of a large answer ends when it makes no progress, so that an answer that
// nobody reads does not keep its memory.
func (x *exchange) writeBody(body []byte) error {
	if x.room == nil {
		_, err := x.writer.Write(body)
		return err
	}
	if limiter, isLimiter := x.caller.(StallLimiter); isLimiter {
		limiter.LimitStalls(stallTimeout)
	} else {
		x.limitForwardedWrite()
		defer x.clearWriteDeadline()
	}
	_, err := x.writer.Write(body)
	var stalled *StalledError
	x.isStalled = errors.As(err, &stalled)
	return err
}

// limitForwardedWrite ends the write to a node that forwarded the request once that node has given up, at its deadline.
func (x *exchange) limitForwardedWrite() {
	end := x.deadline
	if now := time.Now(); now.After(end) {
		end = now
	}
	_ = http.NewResponseController(x.writer).SetWriteDeadline(end.Add(stallTimeout)) // not supported by test recorders
}

func (x *exchange) clearWriteDeadline() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Time{})
}
