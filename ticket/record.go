package ticket

import (
	"container/list"
	"sync"
	"time"
)

// Verdict is the decision on a request that carries a ticket.
type Verdict int

// Verdicts.
const (
	// Run: the ticket never ran and may run now; Finish or Abandon must follow.
	Run Verdict = iota + 1
	// Replay: the ticket ran, and its answer is returned.
	Replay
	// Duplicate: the ticket is being run now; the outcome of this attempt is
	// unknown.
	Duplicate
	// Gone: the ticket ran, but its answer is not stored; the outcome is
	// unknown.
	Gone
	// Stale: the ticket belongs to another ownership or was dropped from the
	// record. It may have run; the outcome is unknown.
	Stale
	// Mismatch: the ticket was issued or used for another request. This request
	// did not run.
	Mismatch
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Replay:
		return "replay"
	case Duplicate:
		return "duplicate"
	case Gone:
		return "gone"
	case Stale:
		return "stale"
	case Mismatch:
		return "mismatch"
	}
	return "none"
}

// Limits are the size limits of a Record.
type Limits struct {
	Tickets     int           // finished tickets; running ones are not limited
	AnswerBytes int           // of all stored answers
	AnswerSize  int           // of one stored answer; the ticket of a longer one is Gone
	Issuers     int           // issuers that have a floor
	Age         time.Duration // after which a finished ticket is dropped
}

// DefaultLimits returns limits that keep the tickets of a busy server for a few
// minutes in about 20 MB.
func DefaultLimits() Limits {
	return Limits{
		Tickets:     20_000,
		AnswerBytes: 16 << 20,
		AnswerSize:  64 << 10,
		Issuers:     8192,
		Age:         10 * time.Minute,
	}
}

// Request is a request that carries a ticket.
type Request struct {
	Ticket Ticket
	// Subject is SubjectOf the service and key of the request.
	Subject uint64
	// Fingerprint is a digest of method and path, so that a request that reuses
	// the ticket of another request does not receive that request's answer.
	Fingerprint uint64
}

// Answer is a stored answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the approximate size of the answer in bytes.
func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Record stores which tickets ran, and their answers, within its limits. It is
// safe for concurrent use.
//
// For each issuer a floor stores the highest sequence that was dropped to stay
// within the limits. Every ticket at or below the floor is Stale from then on,
// so that a dropped ticket never runs again.
type Record struct {
	limits Limits

	mu       sync.Mutex
	entries  map[Ticket]*entry
	finished *list.List // of *entry, oldest first
	bodies   *list.List // of *entry with a stored answer, oldest first
	bytes    int
	floors   map[Issuer]uint64
	// latestDroppedStart: all tickets of issuers that have no floor and that
	// started at or before this time (Unix milliseconds) are Stale.
	latestDroppedStart int64
	dropped            uint64
}

// entry is one ticket that ran or is being run.
type entry struct {
	ticket          Ticket
	fingerprint     uint64
	running         bool
	answer          *Answer
	finishedAt      time.Time // when it finished
	finishedElement *list.Element
	bodyElement     *list.Element
}

// NewRecord returns an empty record.
func NewRecord(limits Limits) *Record {
	return &Record{
		limits:             limits,
		entries:            map[Ticket]*entry{},
		finished:           list.New(),
		bodies:             list.New(),
		floors:             map[Issuer]uint64{},
		latestDroppedStart: -1,
	}
}

// Begin decides on a request under the scope in force. The answer is set only
// with Replay and must not be modified.
func (r *Record) Begin(req Request, current Scope, now time.Time) (Verdict, *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	if req.Subject != req.Ticket.Subject {
		return Mismatch, nil
	}
	if known, exists := r.entries[req.Ticket]; exists {
		return known.verdict(req)
	}
	if req.Ticket.Scope != current || r.belowFloor(req.Ticket) {
		return Stale, nil
	}
	r.entries[req.Ticket] = &entry{ticket: req.Ticket, fingerprint: req.Fingerprint, running: true}
	return Run, nil
}

func (e *entry) verdict(req Request) (Verdict, *Answer) {
	switch {
	case e.fingerprint != req.Fingerprint:
		return Mismatch, nil
	case e.running:
		return Duplicate, nil
	case e.answer == nil:
		return Gone, nil
	}
	return Replay, e.answer
}

// Finish stores the answer of a ticket for which Begin returned Run. If the
// answer is nil or too long, the ticket is Gone for later requests.
func (r *Record) Finish(t Ticket, answer *Answer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	done, exists := r.entries[t]
	if !exists || !done.running {
		return
	}
	done.running = false
	done.finishedAt = now
	done.finishedElement = r.finished.PushBack(done)
	if answer != nil && answer.size() <= r.limits.AnswerSize {
		done.answer = answer
		done.bodyElement = r.bodies.PushBack(done)
		r.bytes += answer.size()
	}
	r.enforceLimits()
}

// Abandon removes a ticket for which Begin returned Run and that provably did
// not run.
func (r *Record) Abandon(t Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.entries[t]; exists && known.running {
		delete(r.entries, t)
	}
}
