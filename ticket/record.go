package ticket

import (
	"container/list"
	"sync"
	"time"
)

// Verdict says what to do with a request that carries a ticket.
type Verdict int

// Verdicts.
const (
	// Run: it never ran and may run now; Finish or Abandon must follow.
	Run Verdict = iota + 1
	// Replay: it ran, and this is its answer.
	Replay
	// Duplicate: it is being run now; the outcome of this attempt is unknown.
	Duplicate
	// Gone: it ran, but its answer is not kept; unknown.
	Gone
	// Stale: the ticket is of another ownership, or was dropped from the
	// record; it may have run; unknown.
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

// Limits bound a Record.
type Limits struct {
	Tickets     int           // remembered, besides those being run
	AnswerBytes int           // of all stored answers
	AnswerSize  int           // of one stored answer; longer ones are Gone
	Issuers     int           // with a floor of their own
	Age         time.Duration // after which a finished ticket is dropped
}

// DefaultLimits hold a few minutes of a busy server's tickets in about 20 MB.
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
	// Subject of the service and key that the request is for.
	Subject uint64
	// Fingerprint of method and path, so that a ticket used again for another
	// request is not given the first one's answer.
	Fingerprint uint64
}

// Answer is a stored answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the bytes that the answer takes, roughly.
func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Record remembers which tickets ran, and their answers, within its limits. It
// is safe for concurrent use.
//
// What is dropped to stay within the limits is not forgotten altogether: a
// floor for each issuer remembers the highest sequence dropped, and every ticket
// at or below it is Stale from then on.
type Record struct {
	limits Limits

	mu       sync.Mutex
	entries  map[Ticket]*entry
	finished *list.List // of *entry, oldest first
	bodies   *list.List // of *entry with a stored answer, oldest first
	bytes    int
	floors   map[Issuer]uint64
	// youngestDropped: issuers without a floor of their own that are not
	// younger than this are Stale altogether.
	youngestDropped int64
	dropped         uint64
}

// entry is one ticket that ran or is being run.
type entry struct {
	ticket      Ticket
	fingerprint uint64
	running     bool
	answer      *Answer
	at          time.Time // when it finished
	inFinished  *list.Element
	inBodies    *list.Element
}

// NewRecord returns an empty record.
func NewRecord(limits Limits) *Record {
	return &Record{
		limits:          limits,
		entries:         map[Ticket]*entry{},
		finished:        list.New(),
		bodies:          list.New(),
		floors:          map[Issuer]uint64{},
		youngestDropped: -1,
	}
}

// Begin decides about a request under the scope in force. The answer is set
// only with Replay and must not be changed.
func (r *Record) Begin(req Request, current Scope, now time.Time) (Verdict, *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(now)
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

// Finish stores the answer of a ticket that Begin let run. A nil answer, or one
// that is too long, is Gone for later requests.
func (r *Record) Finish(t Ticket, answer *Answer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	done, exists := r.entries[t]
	if !exists || !done.running {
		return
	}
	done.running = false
	done.at = now
	done.inFinished = r.finished.PushBack(done)
	if answer != nil && answer.size() <= r.limits.AnswerSize {
		done.answer = answer
		done.inBodies = r.bodies.PushBack(done)
		r.bytes += answer.size()
	}
	r.shrink()
}

// Abandon forgets a ticket that Begin let run and that, provably, did not run
// after all.
func (r *Record) Abandon(t Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.entries[t]; exists && known.running {
		delete(r.entries, t)
	}
}
