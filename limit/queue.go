// Package limit is the admission of requests to one backend server: a
// concurrency limit, a bounded queue ordered by deadline with fair shares
// between callers, and early refusal of what cannot be served in time by the
// busy time observed. Queue is the pure core; Gate and Set are the runtime.
package limit

import (
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Spec is the configuration of one server's queue.
type Spec struct {
	Limit     int           // requests that the server may hold at once; at least 1
	MaxQueued int           // requests that may wait; 0 for none
	Ramp      time.Duration // from one request to the whole limit after a cold start
}

// Entry is one request that asks for a place.
type Entry struct {
	ID       uint64 // unique within the queue
	Caller   string // requests of one caller share
	Deadline time.Time
	Hop      int // services through which the request came
}

// Refusal says why a request gets no place and when to come back.
type Refusal struct {
	Reason     serverapi.Reason
	RetryAfter time.Duration
}

// Refused is the refusal of one waiting request.
type Refused struct {
	ID uint64
	Refusal
}

// Changes tells what became of waiting requests.
type Changes struct {
	Granted []uint64
	Refused []Refused
}

// Queue is the pure core: no clock, no goroutine, not for concurrent use. Each
// entry that is offered is granted, refused or canceled exactly once.
type Queue struct {
	spec     Spec
	window   window
	estimate Estimate
	shares   shares
	inFlight map[uint64]inFlightRequest
	peak     int
}

// inFlightRequest is one granted request.
type inFlightRequest struct {
	since   time.Time
	share   *share
	charged time.Duration // 0 when the place was free
}

// NewQueue returns an empty queue of a server that is cold now.
func NewQueue(spec Spec, now time.Time) *Queue {
	q := &Queue{inFlight: map[uint64]inFlightRequest{}, shares: newShares()}
	q.window.coldSince = now
	q.Configure(spec)
	return q
}

// Configure replaces the configuration. Requests that hold a place keep it.
func (q *Queue) Configure(spec Spec) {
	spec.Limit = max(spec.Limit, 1)
	q.spec = spec
	q.window.limit = spec.Limit
	q.window.ramp = spec.Ramp
}

// RestartRamp starts the ramp anew: the server was replaced, restarted or away.
func (q *Queue) RestartRamp(now time.Time) { q.window.coldSince = now }

// InFlight is how many requests hold a place.
func (q *Queue) InFlight() int { return len(q.inFlight) }

// Queued is how many requests wait.
func (q *Queue) Queued() int { return q.shares.queued }

// Peak is the most requests that ever held a place at once.
func (q *Queue) Peak() int { return q.peak }

// Window is how many requests may hold a place now.
func (q *Queue) Window(now time.Time) int { return q.window.size(now) }

// MeanBusy is the observed mean busy time; 0 while not known.
func (q *Queue) MeanBusy() time.Duration { return q.estimate.Mean() }

// Offer asks for a place. The entry is among the granted or refused at once, or
// it waits; other waiting entries may be refused to make room. Full tells that
// no more may wait for reasons beyond this queue.
func (q *Queue) Offer(now time.Time, entry Entry, full bool) Changes {
	var changes Changes
	if entry.Deadline.Sub(now) <= q.estimate.MinBusy() {
		changes.refuse(entry.ID, q.tooLate(now))
		return changes
	}
	if q.shares.queued == 0 && len(q.inFlight) < q.window.size(now) {
		q.grant(now, q.shares.shareFor(entry), entry.ID, 0, &changes)
		return changes
	}
	if q.expectedStart(now, entry).Add(q.estimate.MinBusy()).After(entry.Deadline) {
		changes.refuse(entry.ID, q.tooLate(now))
		return changes
	}
	if full || q.shares.queued >= q.spec.MaxQueued {
		evicted, found := q.shares.evict(entry)
		if !found {
			changes.refuse(entry.ID, q.full(now))
			return changes
		}
		changes.refuse(evicted.ID, q.full(now))
	}
	q.shares.insert(entry)
	q.dispatch(now, &changes)
	return changes
}

// Result is what a granted request came to.
type Result struct {
	// Overloaded: the server refused it because it holds too many.
	Overloaded bool
	// Served: the server ran it; its busy time counts for the estimate.
	Served bool
	// Failed: it was sent, or was to be, and brought no answer.
	Failed bool
}

// Finish takes back a place and returns what became of waiting entries.
func (q *Queue) Finish(now time.Time, id uint64, result Result) Changes {
	var changes Changes
	request, known := q.inFlight[id]
	if !known {
		return changes
	}
	busy := now.Sub(request.since)
	if result.Overloaded {
		q.window.reduce(now, len(q.inFlight))
	}
	if result.Served {
		q.estimate.Add(busy)
		q.window.recover()
	}
	delete(q.inFlight, id)
	if request.charged == 0 {
		request.charged = busy
	}
	q.shares.finish(request.share, busy-request.charged, q.quantum())
	q.dispatch(now, &changes)
	return changes
}

// Cancel removes a waiting entry; it is false when the entry does not wait.
func (q *Queue) Cancel(entry Entry) bool { return q.shares.remove(entry) }

// Sweep refuses entries that cannot be served in time any more and fills places
// that the ramp has opened. It is to be called every few milliseconds while
// entries wait.
func (q *Queue) Sweep(now time.Time) Changes {
	var changes Changes
	q.dispatch(now, &changes)
	q.shed(now, &changes)
	return changes
}

// dispatch fills free places.
func (q *Queue) dispatch(now time.Time, changes *Changes) {
	for q.shares.queued > 0 && len(q.inFlight) < q.window.size(now) {
		owner, entry := q.shares.next(q.quantum())
		if entry.Deadline.Sub(now) <= q.estimate.MinBusy() {
			changes.refuse(entry.ID, q.tooLate(now))
			q.shares.dropIfIdle(owner)
			continue
		}
		q.grant(now, owner, entry.ID, q.estimate.Mean(), changes)
	}
}

// grant gives a place. The share is charged only for places that others waited
// for.
func (q *Queue) grant(now time.Time, owner *share, id uint64, charge time.Duration, changes *Changes) {
	owner.deficit -= charge
	owner.inFlight++
	q.inFlight[id] = inFlightRequest{since: now, share: owner, charged: charge}
	q.peak = max(q.peak, len(q.inFlight))
	changes.Granted = append(changes.Granted, id)
}

// quantum is what a caller's share gains in each round: one mean request.
func (q *Queue) quantum() time.Duration { return max(q.estimate.Mean(), minQuantum) }

func (c *Changes) refuse(id uint64, refusal Refusal) {
	c.Refused = append(c.Refused, Refused{ID: id, Refusal: refusal})
}

func (q *Queue) tooLate(now time.Time) Refusal {
	return Refusal{Reason: callerapi.ReasonTooLate, RetryAfter: q.drainDuration(now)}
}

func (q *Queue) full(now time.Time) Refusal {
	return Refusal{Reason: callerapi.ReasonQueueFull, RetryAfter: q.drainDuration(now)}
}
