package router

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// records holds the ticket records of the groups that this node leads, for
// services whose servers do not keep their own. A record belongs to one term: the
// next term starts with an empty record, and tickets of the old term are stale.
type records struct {
	mu      sync.Mutex
	byGroup map[topo.GroupID]*termRecord
}

type termRecord struct {
	term   topo.Term
	record *ticket.Record
}

func newRecords() *records { return &records{byGroup: map[topo.GroupID]*termRecord{}} }

// of returns the record of a decision's term, or nil if a later term has one.
func (r *records) of(d route.Decision) *ticket.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.byGroup[d.Group]
	if exists && d.Term.Less(known.term) {
		return nil
	}
	if !exists || known.term.Less(d.Term) {
		known = &termRecord{term: d.Term, record: ticket.NewRecord(ticket.DefaultLimits())}
		r.byGroup[d.Group] = known
	}
	return known.record
}

// dump returns a dump of each group's record.
func (r *records) dump() map[topo.GroupID]ticket.Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[topo.GroupID]ticket.Dump, len(r.byGroup))
	for group, held := range r.byGroup {
		all[group] = held.record.Dump()
	}
	return all
}

// recordEntry is a ticket that may run now.
type recordEntry struct {
	record *ticket.Record
	ticket ticket.Ticket
}

// begin checks in the record whether a ticket may run. If it returns no entry,
// the result is final for this attempt.
func (r *records) begin(d route.Decision, req *exchange.Request, t ticket.Ticket) (*recordEntry, result) {
	current := ticket.TermScope(d.Term)
	if t.Scope.Kind == current.Kind && current.Ordinal.Less(t.Scope.Ordinal) {
		// The ticket's term is later than this node's state.
		return nil, unsent(outcome.NotRun(callerapi.ReasonNotLessor))
	}
	record := r.of(d)
	if record == nil {
		return nil, result{routeChanged: true}
	}
	verdict, stored := record.Begin(ticket.Request{
		Ticket:      t,
		Subject:     ticket.SubjectOf(req.Service, req.Key),
		Fingerprint: fingerprint(req),
	}, current, time.Now())
	switch verdict {
	case ticket.Run:
		return &recordEntry{record: record, ticket: t}, result{}
	case ticket.Replay:
		return nil, replay(stored)
	case ticket.Duplicate:
		return nil, unsent(outcome.Unknown(serverapi.ReasonDuplicate))
	case ticket.Gone:
		return nil, unsent(outcome.Unknown(serverapi.ReasonAnswerGone))
	case ticket.Mismatch:
		return nil, unsent(outcome.NotRun(callerapi.ReasonBadTicket))
	}
	return nil, unsent(outcome.Unknown(serverapi.ReasonStaleTicket))
}

func fingerprint(req *exchange.Request) uint64 {
	return xxhash.Sum64String(req.Method + " " + req.Path)
}

func replay(stored *ticket.Answer) result {
	header := http.Header(stored.Header).Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(serverapi.HeaderReplayed, "true")
	return result{
		verdict: outcome.Answered(),
		answer: &exchange.Answer{
			Status:  stored.Status,
			Outcome: serverapi.OutcomeAnswered,
			Header:  header,
			Body:    io.NopCloser(bytes.NewReader(stored.Body)),
		},
	}
}

// end stores the outcome of a ticket in the record.
func (e *recordEntry) end(res result) result {
	switch {
	case res.routeChanged, res.verdict.NotRunProven():
		e.record.Abandon(e.ticket)
	case res.verdict.Outcome == serverapi.OutcomeAnswered:
		res.answer.Body = e.storeBody(res.answer)
	default:
		e.record.Finish(e.ticket, nil, time.Now())
	}
	return res
}

// storeBody wraps the answer's body, so that the answer is stored in the record once
// it has been passed on completely.
func (e *recordEntry) storeBody(answer *exchange.Answer) io.ReadCloser {
	return &storedBody{ReadCloser: answer.Body, entry: e, status: answer.Status, header: answer.Header}
}

type storedBody struct {
	io.ReadCloser
	entry    *recordEntry
	status   int
	header   http.Header
	buffered bytes.Buffer
	tooBig   bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *storedBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	if b.buffered.Len()+count > ticket.DefaultLimits().AnswerSize {
		b.tooBig = true
		b.buffered.Reset()
	}
	if !b.tooBig {
		b.buffered.Write(p[:count])
	}
	if err == io.EOF {
		b.finish(!b.tooBig)
	} else if err != nil {
		b.finish(false)
	}
	return count, err
}

// Close implements io.Closer.
func (b *storedBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(false)
	return err
}

func (b *storedBody) finish(whole bool) {
	b.once.Do(func() {
		var stored *ticket.Answer
		if whole {
			stored = &ticket.Answer{Status: b.status, Header: b.header, Body: bytes.Clone(b.buffered.Bytes())}
		}
		b.entry.record.Finish(b.entry.ticket, stored, time.Now())
	})
}
