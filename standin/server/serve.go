package server

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// serve answers one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	run := s.current()
	s.counters.update(func(c *Stats) { c.Requests++ })
	req, refused := s.parseRequest(r)
	s.echoRequestID(w, req.requestID)
	if refused != nil {
		refuse(w, refused)
		return
	}
	if refused := s.admit(); refused != nil {
		refuse(w, refused)
		return
	}
	defer s.counters.leave()
	ctx := r.Context()
	if req.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.deadline)
		defer cancel()
	}
	s.serveAdmitted(&job{ctx: ctx, run: run, w: w, req: req}, r.Body)
}

func (s *Server) echoRequestID(w http.ResponseWriter, requestID string) {
	if s.faults.get().WrongRequestID {
		requestID += "-another"
	}
	w.Header().Set(serverapi.HeaderRequestID, requestID)
}

// admit applies the concurrency limit and what sheds on purpose.
func (s *Server) admit() *refusal {
	refused := &refusal{status: http.StatusServiceUnavailable, outcome: serverapi.OutcomeNotRun}
	if s.draining.Load() && !s.config.Keyed {
		refused.reason = serverapi.ReasonDraining
		return refused
	}
	refused.reason = serverapi.ReasonOverloaded
	if s.faults.shed() {
		s.counters.update(func(c *Stats) { c.Shed++ })
		return refused
	}
	if !s.counters.admit() {
		return refused
	}
	return nil
}

// checksOwnership reports whether this server refuses shards it does not own.
func (s *Server) checksOwnership() bool {
	return s.config.Keyed && s.config.ChecksFencing && !s.faults.get().IgnoreFences
}

// job is one admitted request on its way through the steps.
type job struct {
	ctx    context.Context
	run    *life
	w      http.ResponseWriter
	req    serveRequest
	claim  lease.RunID
	owned  history.Time   // when the server was first found to be the owner; 0 if it does not check
	ticket *ticket.Ticket // nil without one
}

// serveAdmitted goes through the steps in the order that docs/SERVERS.md asks
// for: ownership, body, ownership again, ticket, run, ownership again, answer.
func (s *Server) serveAdmitted(j *job, body io.Reader) {
	checks := s.checksOwnership()
	if checks {
		var err error
		if j.claim, j.owned, err = j.run.begin(j.req); err != nil {
			s.refuseNotOwner(j.w, err)
			return
		}
		defer j.run.end(j.claim)
	}
	digest, err := digestBody(body)
	if err != nil {
		refuse(j.w, badRequest("body not whole"))
		return
	}
	j.req.bodyDigest = digest
	if checks {
		if _, err := j.run.recheck(j.claim); err != nil {
			s.refuseNotOwner(j.w, err)
			return
		}
	}
	if j.ctx.Err() != nil {
		refuse(j.w, deadlinePassed(serverapi.OutcomeNotRun))
		return
	}
	// A pause here is the case that the checks after the run are for.
	s.gate.pass()
	s.serveTicket(j)
}

func (s *Server) refuseNotOwner(w http.ResponseWriter, err error) {
	s.counters.update(func(c *Stats) { c.NotOwner++ })
	refuse(w, &refusal{
		status: http.StatusMisdirectedRequest, outcome: serverapi.OutcomeNotRun,
		reason: serverapi.ReasonNotOwner, problem: err.Error(),
	})
}

// serveTicket consults the record if the request carries a ticket, and runs it.
func (s *Server) serveTicket(j *job) {
	keeps := s.config.Keyed && s.config.ChecksFencing && !s.faults.get().IgnoreTickets
	if j.req.ticketText == "" || !keeps {
		s.runAndAnswer(j)
		return
	}
	parsed, err := ticket.Parse(j.req.ticketText)
	if err != nil {
		refuse(j.w, badTicket(err.Error()))
		return
	}
	verdict, stored := j.run.tickets.Begin(ticketRequest(j.req, parsed), ticket.FenceScope(j.req.fence), s.wall())
	switch verdict {
	case ticket.Run:
		j.ticket = &parsed
		s.runAndAnswer(j)
	case ticket.Replay:
		s.counters.update(func(c *Stats) { c.Replayed++ })
		replay(j.w, stored)
	default:
		refuse(j.w, refusalOf(verdict))
	}
}

func ticketRequest(req serveRequest, parsed ticket.Ticket) ticket.Request {
	return ticket.Request{
		Ticket:      parsed,
		Subject:     ticket.SubjectOf(req.service, req.key),
		Fingerprint: ticket.SubjectOf(topo.Service(req.method), req.path),
	}
}

// wall returns the shared clock's time in the form that the record wants.
func (s *Server) wall() time.Time { return time.Unix(0, int64(s.config.Clock())) }

// effect is what a run did.
type effect struct {
	value uint64
	// committed is true when the server was the owner throughout, and at is the
	// moment at which that was found.
	committed bool
	at        history.Time
}

// runAndAnswer runs a request and answers it.
func (s *Server) runAndAnswer(j *job) {
	s.recordBegan(j)
	done := s.takeEffect(j)
	s.recordEnded(j.run, j.req, done)
	if !done.committed {
		s.answerUncommitted(j)
		return
	}
	answer := s.answerTo(j.run, j.req, done.value)
	if j.ticket != nil {
		j.run.tickets.Finish(*j.ticket, storable(answer, s.config.Tickets.AnswerSize), s.wall())
	}
	if s.faults.lose() {
		s.counters.update(func(c *Stats) { c.LostReply++ })
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	s.send(j.w, answer)
}

// answerUncommitted answers a request whose run does not stand.
func (s *Server) answerUncommitted(j *job) {
	if j.ticket != nil {
		j.run.tickets.Finish(*j.ticket, nil, s.wall())
	}
	s.counters.update(func(c *Stats) { c.Lost++ })
	if j.ctx.Err() != nil && j.ticket == nil {
		refuse(j.w, deadlinePassed(serverapi.OutcomeUnknown))
		return
	}
	refuse(j.w, &refusal{
		status: http.StatusConflict, outcome: serverapi.OutcomeUnknown, reason: serverapi.ReasonOwnershipLost,
	})
}

// takeEffect takes the service time, applies the request, and checks that the
// server was the owner throughout.
func (s *Server) takeEffect(j *job) effect {
	done := effect{at: s.config.Clock()}
	if !s.work(j) {
		return done
	}
	checks := s.checksOwnership()
	if checks {
		if _, err := j.run.recheck(j.claim); err != nil {
			return done
		}
	}
	s.gate.pass()
	var alive bool
	if done.value, alive = j.run.change(j.req); !alive {
		return done
	}
	done.at, done.committed = s.config.Clock(), true
	if checks {
		var err error
		done.at, err = j.run.recheck(j.claim)
		done.committed = err == nil
	}
	return done
}

// work lets the service time pass and tells the sender of its progress. It
// returns false when the request was cancelled or the run of the server ended.
func (s *Server) work(j *job) bool {
	ctx := j.ctx
	if j.ticket != nil {
		// What runs at most once is run to its end, so that the answer is there
		// for whoever asks again.
		ctx = context.WithoutCancel(ctx)
	}
	age := s.config.Clock().Sub(j.run.started)
	done := time.NewTimer(s.faults.serviceTime(s.config.ServiceTime, s.config.ColdStart, age))
	defer done.Stop()
	var progress <-chan time.Time
	if j.req.progressEvery > 0 {
		ticker := time.NewTicker(j.req.progressEvery)
		defer ticker.Stop()
		progress = ticker.C
	}
	for {
		select {
		case <-done.C:
			s.gate.pass()
			return ctx.Err() == nil && j.run.ctx.Err() == nil
		case <-progress:
			j.w.WriteHeader(http.StatusProcessing)
		case <-ctx.Done():
			return false
		case <-j.run.ctx.Done():
			return false
		}
	}
}

// recordBegan records a run as of the moment at which the server was found to be the
// owner: until it is recorded the lease may lapse, and be renewed.
func (s *Server) recordBegan(j *job) {
	s.counters.update(func(c *Stats) { c.Ran++ })
	req, at := j.req, j.owned
	if !s.checksOwnership() {
		at = s.config.Clock()
	}
	s.config.Recorder.Record(history.RunBegan{
		At: at, Server: s.config.ID, Boot: j.run.boot,
		RequestID: req.requestID, CallerRequest: req.callerRequest,
		Service: req.service, Shard: req.shard, Fence: req.fence, Key: req.key,
		Method: req.method, Ticket: req.ticketText,
	})
}

func (s *Server) recordEnded(run *life, req serveRequest, done effect) {
	if done.committed {
		s.counters.update(func(c *Stats) { c.Committed++ })
	}
	s.config.Recorder.Record(history.RunEnded{
		At: done.at, Server: s.config.ID, Boot: run.boot, RequestID: req.requestID,
		Committed: done.committed, Value: done.value, BodyDigest: req.bodyDigest,
	})
}
