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

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	inc := s.current()
	s.counters.update(func(c *Stats) { c.Requests++ })
	req, refused := s.parseRequest(r)
	s.echoRequestID(w, req.requestID)
	if refused != nil {
		sendRefusal(w, refused)
		return
	}
	if refused := s.admit(); refused != nil {
		sendRefusal(w, refused)
		return
	}
	defer s.counters.release()
	ctx := r.Context()
	if req.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.deadline)
		defer cancel()
	}
	s.serveAdmitted(&job{ctx: ctx, inc: inc, w: w, req: req}, r.Body)
}

func (s *Server) echoRequestID(w http.ResponseWriter, requestID string) {
	if s.faults.get().WrongRequestID {
		requestID += "-another"
	}
	w.Header().Set(serverapi.HeaderRequestID, requestID)
}

// admit applies draining, injected shedding and the concurrency limit. It returns nil
// when the request is admitted.
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

// checksOwnership reports whether the server refuses requests for shards that it does
// not own.
func (s *Server) checksOwnership() bool {
	return s.config.Keyed && s.config.ChecksFencing && !s.faults.get().IgnoreFences
}

// job is the processing state of one admitted request.
type job struct {
	ctx    context.Context
	inc    *incarnation
	w      http.ResponseWriter
	req    serveRequest
	claim  lease.RunID
	owned  history.Time   // time of the first ownership check; 0 if the server does not check
	ticket *ticket.Ticket // nil without one
}

// serveAdmitted processes a request in the order that docs/SERVERS.md requires:
// ownership, body, ownership again, ticket, run, ownership again, answer.
func (s *Server) serveAdmitted(j *job, body io.Reader) {
	checks := s.checksOwnership()
	if checks {
		var err error
		if j.claim, j.owned, err = j.inc.begin(j.req); err != nil {
			s.refuseNotOwner(j.w, err)
			return
		}
		defer j.inc.end(j.claim)
	}
	digest, err := digestBody(body)
	if err != nil {
		sendRefusal(j.w, badRequest("body not whole"))
		return
	}
	j.req.bodyDigest = digest
	if checks {
		if _, err := j.inc.recheck(j.claim); err != nil {
			s.refuseNotOwner(j.w, err)
			return
		}
	}
	if j.ctx.Err() != nil {
		sendRefusal(j.w, deadlinePassed(serverapi.OutcomeNotRun))
		return
	}
	// The ownership checks after the run detect a pause at this point.
	s.gate.pass()
	s.serveTicket(j)
}

func (s *Server) refuseNotOwner(w http.ResponseWriter, err error) {
	s.counters.update(func(c *Stats) { c.NotOwner++ })
	sendRefusal(w, &refusal{
		status: http.StatusMisdirectedRequest, outcome: serverapi.OutcomeNotRun,
		reason: serverapi.ReasonNotOwner, problem: err.Error(),
	})
}

// serveTicket runs a request. If the request carries a ticket, the record of tickets
// decides whether it is run, replayed or refused.
func (s *Server) serveTicket(j *job) {
	keepsTickets := s.config.Keyed && s.config.ChecksFencing && !s.faults.get().IgnoreTickets
	if j.req.ticketText == "" || !keepsTickets {
		s.runAndAnswer(j)
		return
	}
	parsed, err := ticket.Parse(j.req.ticketText)
	if err != nil {
		sendRefusal(j.w, badTicket(err.Error()))
		return
	}
	verdict, stored := j.inc.tickets.Begin(ticketRequest(j.req, parsed), ticket.FenceScope(j.req.fence), s.wallTime())
	switch verdict {
	case ticket.Run:
		j.ticket = &parsed
		s.runAndAnswer(j)
	case ticket.Replay:
		s.counters.update(func(c *Stats) { c.Replayed++ })
		replay(j.w, stored)
	default:
		sendRefusal(j.w, refusalFor(verdict))
	}
}

func ticketRequest(req serveRequest, parsed ticket.Ticket) ticket.Request {
	return ticket.Request{
		Ticket:      parsed,
		Subject:     ticket.SubjectOf(req.service, req.key),
		Fingerprint: ticket.SubjectOf(topo.Service(req.method), req.path),
	}
}

// wallTime returns the shared clock's time as a time.Time for the record of tickets.
func (s *Server) wallTime() time.Time { return time.Unix(0, int64(s.config.Clock())) }

// runResult is the result of a run.
type runResult struct {
	value uint64
	// committed is true when the server was the owner throughout, and at is the
	// time of the check that established it.
	committed bool
	at        history.Time
}

// runAndAnswer runs a request and answers it.
func (s *Server) runAndAnswer(j *job) {
	s.recordRunBegan(j)
	done := s.execute(j)
	s.recordRunEnded(j.inc, j.req, done)
	if !done.committed {
		s.answerUncommitted(j)
		return
	}
	answer := s.answerTo(j.inc, j.req, done.value)
	if j.ticket != nil {
		j.inc.tickets.Finish(*j.ticket, storedAnswer(answer, s.config.Tickets.AnswerSize), s.wallTime())
	}
	if s.faults.dropAnswer() {
		s.counters.update(func(c *Stats) { c.LostReply++ })
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	s.send(j.w, answer)
}

// answerUncommitted answers a request whose run was not committed.
func (s *Server) answerUncommitted(j *job) {
	if j.ticket != nil {
		j.inc.tickets.Finish(*j.ticket, nil, s.wallTime())
	}
	s.counters.update(func(c *Stats) { c.Lost++ })
	if j.ctx.Err() != nil && j.ticket == nil {
		sendRefusal(j.w, deadlinePassed(serverapi.OutcomeUnknown))
		return
	}
	sendRefusal(j.w, &refusal{
		status: http.StatusConflict, outcome: serverapi.OutcomeUnknown, reason: serverapi.ReasonOwnershipLost,
	})
}

// execute waits for the service time, applies the request, and checks that the
// server was the owner throughout.
func (s *Server) execute(j *job) runResult {
	done := runResult{at: s.config.Clock()}
	if !s.waitServiceTime(j) {
		return done
	}
	checks := s.checksOwnership()
	if checks {
		if _, err := j.inc.recheck(j.claim); err != nil {
			return done
		}
	}
	s.gate.pass()
	var alive bool
	if done.value, alive = j.inc.change(j.req); !alive {
		return done
	}
	done.at, done.committed = s.config.Clock(), true
	if checks {
		var err error
		done.at, err = j.inc.recheck(j.claim)
		done.committed = err == nil
	}
	return done
}

// waitServiceTime waits for the service time and reports progress to the sender. It
// returns false when the request was cancelled or the incarnation ended.
func (s *Server) waitServiceTime(j *job) bool {
	ctx := j.ctx
	if j.ticket != nil {
		// A request with a ticket runs at most once, so it runs to its end even when it is
		// cancelled: later attempts then receive its answer.
		ctx = context.WithoutCancel(ctx)
	}
	age := s.config.Clock().Sub(j.inc.started)
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
			return ctx.Err() == nil && j.inc.ctx.Err() == nil
		case <-progress:
			j.w.WriteHeader(http.StatusProcessing)
		case <-ctx.Done():
			return false
		case <-j.inc.ctx.Done():
			return false
		}
	}
}

// recordRunBegan records the start of a run as of the first ownership check, because the
// lease may expire and be renewed between the check and the recording.
func (s *Server) recordRunBegan(j *job) {
	s.counters.update(func(c *Stats) { c.Ran++ })
	req, at := j.req, j.owned
	if !s.checksOwnership() {
		at = s.config.Clock()
	}
	s.config.Recorder.Record(history.RunBegan{
		At: at, Server: s.config.ID, Boot: j.inc.boot,
		RequestID: req.requestID, CallerRequest: req.callerRequest,
		Service: req.service, Shard: req.shard, Fence: req.fence, Key: req.key,
		Method: req.method, Ticket: req.ticketText,
	})
}

func (s *Server) recordRunEnded(inc *incarnation, req serveRequest, done runResult) {
	if done.committed {
		s.counters.update(func(c *Stats) { c.Committed++ })
	}
	s.config.Recorder.Record(history.RunEnded{
		At: done.at, Server: s.config.ID, Boot: inc.boot, RequestID: req.requestID,
		Committed: done.committed, Value: done.value, BodyDigest: req.bodyDigest,
	})
}
