// Package limit controls the admission of requests to one backend server. It
// implements a concurrency limit, a bounded queue ordered by deadline with fair
// shares between callers, and early refusal of requests that, by the observed
// busy time, cannot be served in time. Queue is the deterministic core; Gate and
// Set make it usable by concurrent requests.
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
	Ramp      time.Duration // from one request to the full limit after a cold start
}

// Entry is one request for a slot.
type Entry struct {
	ID       uint64 // unique within the queue
	Caller   string // requests of one caller form a share of the queue
	Deadline time.Time
	Hop      int // number of services through which the request came
}

// Refusal is the reason why a request is not granted a slot and the delay before
// a retry.
type Refusal struct {
	Reason     serverapi.Reason
	RetryAfter time.Duration
}

// Refused is the refusal of one waiting request.
type Refused struct {
	ID uint64
	Refusal
}

// Changes lists the requests that were granted a slot or refused.
type Changes struct {
	Granted []uint64
	Refused []Refused
}

// Queue is the deterministic core. It reads no clock, starts no goroutine and is
// not safe for concurrent use. Each entry that is offered is granted, refused or
// canceled exactly once.
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
	charged time.Duration // 0 when the slot was free
}

// NewQueue returns an empty queue for a server that is cold now.
func NewQueue(spec Spec, now time.Time) *Queue {
	q := &Queue{inFlight: map[uint64]inFlightRequest{}, shares: newShares()}
	q.window.coldSince = now
	q.Configure(spec)
	return q
}

// Configure replaces the configuration. Requests that hold a slot keep it.
func (q *Queue) Configure(spec Spec) {
	spec.Limit = max(spec.Limit, 1)
	q.spec = spec
	q.window.limit = spec.Limit
	q.window.ramp = spec.Ramp
}

// RestartRamp restarts the ramp because the server was replaced, restarted or
// unavailable.
func (q *Queue) RestartRamp(now time.Time) { q.window.coldSince = now }

// InFlight returns the number of requests that hold a slot.
func (q *Queue) InFlight() int { return len(q.inFlight) }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.shares.queued }

// Peak returns the maximum number of requests that held a slot at once.
func (q *Queue) Peak() int { return q.peak }

// Window returns the number of requests that may hold a slot now.
func (q *Queue) Window(now time.Time) int { return q.window.size(now) }

// MeanBusy returns the observed mean busy time, or 0 while it is not known.
func (q *Queue) MeanBusy() time.Duration { return q.estimate.Mean() }

// Offer requests a slot for an entry. The entry is granted or refused in the
// returned changes, or it waits. Other waiting entries may be refused to make
// room for it. full is true if a limit outside this queue allows no more waiting
// requests.
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

// Result is the outcome of a granted request.
type Result struct {
	// Overloaded is true if the server refused the request because it already
	// holds too many.
	Overloaded bool
	// Served is true if the server ran the request. Its busy time is then added to
	// the estimate.
	Served bool
	// Failed is true if the request got no response, whether or not it was sent.
	Failed bool
}

// Finish releases a slot and returns the resulting changes to waiting entries.
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

// Cancel removes a waiting entry. It returns false if the entry does not wait.
func (q *Queue) Cancel(entry Entry) bool { return q.shares.remove(entry) }

// Sweep refuses entries that can no longer be served in time and grants slots that
// the ramp has added. The caller must call it every few milliseconds while
// entries wait.
func (q *Queue) Sweep(now time.Time) Changes {
	var changes Changes
	q.dispatch(now, &changes)
	q.shed(now, &changes)
	return changes
}

// dispatch grants free slots to waiting entries.
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

// grant grants a slot. A share is charged in advance only for slots for which
// entries waited.
func (q *Queue) grant(now time.Time, owner *share, id uint64, charge time.Duration, changes *Changes) {
	owner.deficit -= charge
	owner.inFlight++
	q.inFlight[id] = inFlightRequest{since: now, share: owner, charged: charge}
	q.peak = max(q.peak, len(q.inFlight))
	changes.Granted = append(changes.Granted, id)
}

// quantum returns the server time that a share is credited in each round: the
// mean busy time of one request.
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
