package demo

import (
	"context"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/standin/server"
)

// Parameters of the demo's callers.
const (
	callerWorkers    = 128 // maximum requests in flight, over all zones
	requestDeadline  = 4 * time.Second
	ticketAttempts   = 3 // ticket requests before giving up
	writeAttempts    = 3 // attempts with one ticket while its outcome is unknown
	pauseBeforeRetry = 200 * time.Millisecond
)

// sender sends a plan of requests through the clients of their zones.
type sender struct {
	clients  []*client // by zone
	plan     []plannedRequest
	deadline time.Duration // of each request
	// onFinished is called after each request with the number finished so far; nil for
	// none.
	onFinished func(finished int)

	mu       sync.Mutex
	finished int
}

// run sends every request at its planned time, or as soon afterwards as a worker
// is free, and returns when all are finished or ctx ends.
func (s *sender) run(ctx context.Context) {
	queue := make(chan plannedRequest) // unbuffered: if no worker is free, the dispatcher waits and requests are late
	var wait sync.WaitGroup
	for range callerWorkers {
		wait.Go(func() {
			for request := range queue {
				s.send(ctx, request)
				s.finish()
			}
		})
	}
	s.dispatch(ctx, queue)
	close(queue)
	wait.Wait()
}

func (s *sender) dispatch(ctx context.Context, queue chan<- plannedRequest) {
	began := time.Now()
	for _, request := range s.plan {
		if !clock.Wait(ctx, request.After-time.Since(began)) {
			return
		}
		select {
		case queue <- request:
		case <-ctx.Done():
			return
		}
	}
}

func (s *sender) finish() {
	s.mu.Lock()
	s.finished++
	finished := s.finished
	s.mu.Unlock()
	if s.onFinished != nil {
		s.onFinished(finished)
	}
}

// send makes the attempts of one request. A write is sent again with the same
// ticket while it is unknown whether it ran.
func (s *sender) send(ctx context.Context, request plannedRequest) {
	client := s.clients[request.Zone]
	one := attempt{
		caller:   request.caller(),
		request:  request.name(),
		number:   1,
		service:  request.Service,
		keyed:    request.Keyed,
		record:   request.Record,
		method:   request.Method,
		body:     request.Body,
		size:     request.Size,
		deadline: s.deadline,
	}
	if request.Body == nil {
		client.send(ctx, one)
		return
	}
	uses := 0 // attempts made with the current ticket
	for ; one.number <= writeAttempts; one.number++ {
		if uses == 0 && !s.obtainTicket(ctx, client, &one) {
			client.recordUnsent(one)
			return
		}
		answer := client.send(ctx, one)
		uses++
		switch {
		case answer.Outcome != serverapi.OutcomeUnknown:
			return
		case answer.Reason == serverapi.ReasonStaleTicket && uses > 1:
			return // the ticket stays stale, and the earlier attempt may have run
		case answer.Reason == serverapi.ReasonStaleTicket:
			uses = 0 // nothing ran: a new ticket is safe
			continue
		}
		if !clock.Wait(ctx, pauseBeforeRetry) {
			return
		}
	}
}

func (s *sender) obtainTicket(ctx context.Context, client *client, one *attempt) bool {
	for range ticketAttempts {
		ticket, ok := client.ticket(ctx, *one)
		if ok {
			one.ticket = ticket
			return true
		}
		if !clock.Wait(ctx, pauseBeforeRetry) {
			return false
		}
	}
	return false
}

// recordUnsent records a request that was never sent because no ticket was issued.
func (c *client) recordUnsent(a attempt) {
	at := c.clock()
	c.recorder.Record(history.CallerSent{
		At: at, Caller: a.caller, CallerRequest: a.request, Attempt: a.number,
		Service: a.service, Key: a.record, Method: a.method, BodyDigest: server.DigestOf(a.body),
	})
	c.recorder.Record(history.CallerAnswered{
		At: at, Caller: a.caller, CallerRequest: a.request, Attempt: a.number,
		Outcome: serverapi.OutcomeNotRun, Reason: callerapi.ReasonTicketRequired,
	})
}
