// Package buffer holds requests whose shard has no reachable owner, because the
// shard is moving, its server is lost, or its lessor is being replaced. A
// request waits only while it is expected to be served by its deadline, and the
// number of waiting requests is limited; otherwise it is refused at once with a
// retry delay. While requests wait, one of them at a time probes whether the
// owner is available again. OutageTracker is a data structure without I/O or locks;
// Buffer makes it safe for concurrent use.
package buffer

import (
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// estimateDivisor is the divisor of the exponential moving average: a new
	// outage has a weight of 1/estimateDivisor in the estimated duration.
	estimateDivisor = 4
	// The interval between probes grows from minProbeInterval to
	// maxProbeInterval.
	minProbeInterval = 20 * time.Millisecond
	maxProbeInterval = 250 * time.Millisecond
	// minRemaining is the minimum expected remaining duration of an outage.
	minRemaining = 50 * time.Millisecond
	// outageRetention is the time for which an outage without requests is kept.
	outageRetention = 30 * time.Second
)

// Refusal contains the reason why a request does not wait, and the retry delay.
type Refusal struct {
	Reason     serverapi.Reason
	RetryAfter time.Duration
}

// Waiter is one request that waits.
type Waiter struct {
	ID       uint64
	Service  topo.Service
	Deadline time.Time // minus the expected duration of the attempt
}

// outage is one key that cannot be served.
type outage struct {
	cause       Cause
	startedAt   time.Time
	lastUsedAt  time.Time
	measured    bool // its duration has been added to the estimate
	probing     bool
	probes      int
	nextProbeAt time.Time // earliest time of the next probe
	waiters     []Waiter
}

// OutageTracker tracks outages and the requests that wait for them to end. It is not safe
// for concurrent use.
type OutageTracker struct {
	maxWaiters   int // limit of waiting requests for each service
	estimates    [causeCount]time.Duration
	outages      map[Key]*outage
	waiting      map[topo.Service]int
	totalWaiting int
}

// NewOutageTracker returns an empty tracker in which at most maxWaiters requests of each
// service wait.
func NewOutageTracker(maxWaiters int) *OutageTracker {
	return &OutageTracker{
		maxWaiters: maxWaiters,
		estimates:  initialEstimates,
		outages:    map[Key]*outage{},
		waiting:    map[topo.Service]int{},
	}
}

// Plan is the action of a request on a key.
type Plan uint8

// Plans.
const (
	// Proceed: no outage is known.
	Proceed Plan = iota + 1
	// Probe: send the request and report the result by Failed, Recovered or
	// Abandoned.
	Probe
	// Wait: call Join.
	Wait
)

// Plan decides on the action of a request on a key.
func (t *OutageTracker) Plan(now time.Time, key Key) Plan {
	out, exists := t.outages[key]
	switch {
	case !exists:
		return Proceed
	case out.probing || now.Before(out.nextProbeAt):
		return Wait
	}
	out.probing = true
	out.lastUsedAt = now
	return Probe
}

// Failed reports that a key cannot be served. uniform is a random number in
// [0,1) for the jitter of the next probe.
func (t *OutageTracker) Failed(now time.Time, key Key, cause Cause, uniform float64) {
	out, exists := t.outages[key]
	if !exists {
		out = &outage{cause: cause, startedAt: now}
		t.outages[key] = out
	}
	out.lastUsedAt = now
	out.probing = false
	pause := min(minProbeInterval<<min(out.probes, 8), maxProbeInterval)
	out.probes++
	out.nextProbeAt = now.Add(pause/2 + time.Duration(uniform*float64(pause)))
}

// Abandoned reports that a probe ended without a result.
func (t *OutageTracker) Abandoned(key Key) {
	if out, exists := t.outages[key]; exists {
		out.probing = false
	}
}

// Recovered reports that a key is served again, and returns the requests that
// waited for it.
func (t *OutageTracker) Recovered(now time.Time, key Key) []Waiter {
	out, exists := t.outages[key]
	if !exists {
		return nil
	}
	if !out.measured {
		t.updateEstimate(out.cause, now.Sub(out.startedAt))
	}
	return t.drop(key, out)
}

// ServedElsewhere reports that the key's shard or group is served by another
// owner or lessor. The outage remains for requests that still depend on the key,
// but its duration is now known and is added to the estimate.
func (t *OutageTracker) ServedElsewhere(now time.Time, key Key) {
	out, exists := t.outages[key]
	if !exists || out.measured {
		return
	}
	out.measured = true
	t.updateEstimate(out.cause, now.Sub(out.startedAt))
}

// updateEstimate adds the duration of an outage to the estimate for its cause.
func (t *OutageTracker) updateEstimate(cause Cause, duration time.Duration) {
	t.estimates[cause] += (duration - t.estimates[cause]) / estimateDivisor
	t.estimates[cause] = max(t.estimates[cause], minRemaining)
}

func (t *OutageTracker) drop(key Key, out *outage) []Waiter {
	delete(t.outages, key)
	for _, waiter := range out.waiters {
		t.countRemoved(waiter)
	}
	return out.waiters
}

// remaining returns the expected remaining duration of an outage. An outage that
// exceeds the estimate is expected to last for half of its elapsed time more.
func (t *OutageTracker) remaining(now time.Time, out *outage) time.Duration {
	elapsed := now.Sub(out.startedAt)
	if elapsed < t.estimates[out.cause] {
		return max(t.estimates[out.cause]-elapsed, minRemaining)
	}
	return max(elapsed/2, minRemaining)
}

// Join adds a request to the waiters of a key that has an outage. The second
// result is true when the request must be refused at once instead.
func (t *OutageTracker) Join(now time.Time, key Key, waiter Waiter) (Refusal, bool) {
	out, exists := t.outages[key]
	if !exists {
		return Refusal{}, false
	}
	out.lastUsedAt = now
	remaining := t.remaining(now, out)
	if !now.Add(remaining).Before(waiter.Deadline) {
		return Refusal{Reason: callerapi.ReasonNoOwner, RetryAfter: remaining}, true
	}
	if t.waiting[waiter.Service] >= t.maxWaiters {
		return Refusal{Reason: callerapi.ReasonBufferFull, RetryAfter: remaining}, true
	}
	out.waiters = append(out.waiters, waiter)
	t.waiting[waiter.Service]++
	t.totalWaiting++
	return Refusal{}, false
}

// Leave ends a request's wait and reports whether the request was waiting.
func (t *OutageTracker) Leave(key Key, id uint64) bool {
	out, exists := t.outages[key]
	if !exists {
		return false
	}
	for i, waiter := range out.waiters {
		if waiter.ID == id {
			out.waiters = append(out.waiters[:i], out.waiters[i+1:]...)
			t.countRemoved(waiter)
			return true
		}
	}
	return false
}

// countRemoved updates the counts of waiting requests after w was removed.
func (t *OutageTracker) countRemoved(w Waiter) {
	t.totalWaiting--
	t.waiting[w.Service]--
	if t.waiting[w.Service] == 0 {
		delete(t.waiting, w.Service)
	}
}

// Swept is the decision of Sweep on one waiting request.
type Swept struct {
	Waiter
	Key     Key
	Probe   bool // the request must probe; otherwise it is refused
	Refusal Refusal
}

// Sweep refuses requests that are not expected to be served by their deadlines
// and selects the requests that probe. It must be called every few milliseconds
// while requests wait.
func (t *OutageTracker) Sweep(now time.Time) []Swept {
	var swept []Swept
	for key, out := range t.outages {
		swept = t.sweepOutage(now, key, out, swept)
		if len(out.waiters) == 0 && !out.probing && now.Sub(out.lastUsedAt) > outageRetention {
			delete(t.outages, key)
		}
	}
	return swept
}

func (t *OutageTracker) sweepOutage(now time.Time, key Key, out *outage, swept []Swept) []Swept {
	remaining := t.remaining(now, out)
	kept := out.waiters[:0]
	for _, waiter := range out.waiters {
		tooLate := !now.Add(remaining).Before(waiter.Deadline)
		probes := !tooLate && !out.probing && !now.Before(out.nextProbeAt)
		if !tooLate && !probes {
			kept = append(kept, waiter)
			continue
		}
		t.countRemoved(waiter)
		found := Swept{Waiter: waiter, Key: key, Probe: probes}
		if probes {
			out.probing = true
			out.lastUsedAt = now
		} else {
			found.Refusal = Refusal{Reason: callerapi.ReasonNoOwner, RetryAfter: remaining}
		}
		swept = append(swept, found)
	}
	out.waiters = kept
	return swept
}

// Waiting returns the number of waiting requests.
func (t *OutageTracker) Waiting() int { return t.totalWaiting }

// Outages returns the number of keys with an outage.
func (t *OutageTracker) Outages() int { return len(t.outages) }
