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

// Behaviour of the demo's callers.
const (
	callerWorkers    = 128 // requests in flight at most, over all zones
	requestDeadline  = 4 * time.Second
	ticketAttempts   = 3 // tickets asked for before giving up
	writeAttempts    = 3 // sendings of one ticket while its outcome is unknown
	pauseBeforeRetry = 200 * time.Millisecond
)

// sender sends a plan of requests through the clients of their zones.
type sender struct {
	clients  []*client // by zone
	plan     []plannedRequest
	deadline time.Duration // of each request
	// done is told after each request with the number finished so far; nil for
	// nobody.
	done func(finished int)

	mu       sync.Mutex
	finished int
}

// run sends every request at its planned time, or as soon after it as a worker
// is free, and returns when all are finished or ctx ends.
func (s *sender) run(ctx context.Context) {
	queue := make(chan plannedRequest) // full: the dispatcher waits, requests are late
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
	if s.done != nil {
		s.done(finished)
	}
}

// send makes the attempts at one request. A write is sent again under the same
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
	uses := 0 // of the ticket that one carries
	for ; one.number <= writeAttempts; one.number++ {
		if uses == 0 && !s.obtainTicket(ctx, client, &one) {
			client.giveUp(one)
			return
		}
		answer := client.send(ctx, one)
		uses++
		switch {
		case answer.Outcome != serverapi.OutcomeUnknown:
			return
		case answer.Reason == serverapi.ReasonStaleTicket && uses > 1:
			return // it stays stale, and the earlier use may have run
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

// giveUp records a request that was never sent, for lack of a ticket.
func (c *client) giveUp(a attempt) {
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
