// Package buffer holds requests whose shard has no owner that can be reached:
// it moves, its server is lost, or its lessor is being replaced. A request
// waits only while there is hope that it will be served by its deadline, and in
// bounded number; otherwise it is refused at once with a time to come back.
// While many wait, one at a time asks whether the owner is back. Book is the
// pure core; Buffer is the runtime.
package buffer

import (
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// guessShare is the weight of a new observation of an outage's length.
	guessShare = 4
	// A probe follows the last after probeBase, growing to probeMost.
	probeBase = 20 * time.Millisecond
	probeMost = 250 * time.Millisecond
	// leastRemaining is the least that an outage is expected to last on.
	leastRemaining = 50 * time.Millisecond
	// forgetAfter is how long an outage without requests is remembered.
	forgetAfter = 30 * time.Second
)

// Refusal says why a request does not wait and when to come back.
type Refusal struct {
	Reason     serverapi.Reason
	RetryAfter time.Duration
}

// Waiter is one request that waits.
type Waiter struct {
	ID       uint64
	Service  topo.Service
	Deadline time.Time // less the expected time of the attempt
}

// outage is one key that cannot be served.
type outage struct {
	cause   Cause
	since   time.Time
	touched time.Time
	learned bool // its length was learned from
	probing bool
	probes  int
	next    time.Time // of the next probe
	waiters []Waiter
}

// Book is the pure core; not for concurrent use.
type Book struct {
	most    int // waiters of each service
	guess   [causes]time.Duration
	outages map[Key]*outage
	waiting map[topo.Service]int
	total   int
}

// NewBook returns an empty book in which at most `most` requests of each
// service wait.
func NewBook(most int) *Book {
	return &Book{
		most:    most,
		guess:   firstGuess,
		outages: map[Key]*outage{},
		waiting: map[topo.Service]int{},
	}
}

// Plan is what a request does about a key.
type Plan uint8

// Plans.
const (
	// Proceed: nothing is known to be out.
	Proceed Plan = iota + 1
	// Probe: try, and tell the result by Failed, Recovered or Abandoned.
	Probe
	// Wait: call Join.
	Wait
)

// Plan decides what a request does about a key.
func (b *Book) Plan(now time.Time, key Key) Plan {
	out, exists := b.outages[key]
	switch {
	case !exists:
		return Proceed
	case out.probing || now.Before(out.next):
		return Wait
	}
	out.probing = true
	out.touched = now
	return Probe
}

// Failed tells that a key cannot be served; uniform is a random number in
// [0,1).
func (b *Book) Failed(now time.Time, key Key, cause Cause, uniform float64) {
	out, exists := b.outages[key]
	if !exists {
		out = &outage{cause: cause, since: now}
		b.outages[key] = out
	}
	out.touched = now
	out.probing = false
	pause := min(probeBase<<min(out.probes, 8), probeMost)
	out.probes++
	out.next = now.Add(pause/2 + time.Duration(uniform*float64(pause)))
}

// Abandoned tells that a probe ended without a result.
func (b *Book) Abandoned(key Key) {
	if out, exists := b.outages[key]; exists {
		out.probing = false
	}
}

// Recovered tells that a key is served, and returns those who waited.
func (b *Book) Recovered(now time.Time, key Key) []Waiter {
	out, exists := b.outages[key]
	if !exists {
		return nil
	}
	if !out.learned {
		b.learn(out.cause, now.Sub(out.since))
	}
	return b.drop(key, out)
}

// Passed tells that what a key stood for is served in another way, by another
// owner or lessor. What is out stays out, for those that still depend on it, but
// it is known now how long it took.
func (b *Book) Passed(now time.Time, key Key) {
	out, exists := b.outages[key]
	if !exists || out.learned {
		return
	}
	out.learned = true
	b.learn(out.cause, now.Sub(out.since))
}

// learn moves the guess towards how long an outage lasted.
func (b *Book) learn(cause Cause, lasted time.Duration) {
	b.guess[cause] += (lasted - b.guess[cause]) / guessShare
	b.guess[cause] = max(b.guess[cause], leastRemaining)
}

func (b *Book) drop(key Key, out *outage) []Waiter {
	delete(b.outages, key)
	for _, waiter := range out.waiters {
		b.uncount(waiter)
	}
	return out.waiters
}

// remaining is how long an outage is expected to last on. One that lasts longer
// than usual is expected to last half as long again.
func (b *Book) remaining(now time.Time, out *outage) time.Duration {
	elapsed := now.Sub(out.since)
	if elapsed < b.guess[out.cause] {
		return max(b.guess[out.cause]-elapsed, leastRemaining)
	}
	return max(elapsed/2, leastRemaining)
}

// Join lets a request wait for a key that is out. The second result is false
// when it waits; otherwise the request is to be refused at once.
func (b *Book) Join(now time.Time, key Key, waiter Waiter) (Refusal, bool) {
	out, exists := b.outages[key]
	if !exists {
		return Refusal{}, false
	}
	out.touched = now
	remaining := b.remaining(now, out)
	if !now.Add(remaining).Before(waiter.Deadline) {
		return Refusal{Reason: callerapi.ReasonNoOwner, RetryAfter: remaining}, true
	}
	if b.waiting[waiter.Service] >= b.most {
		return Refusal{Reason: callerapi.ReasonBufferFull, RetryAfter: remaining}, true
	}
	out.waiters = append(out.waiters, waiter)
	b.waiting[waiter.Service]++
	b.total++
	return Refusal{}, false
}

// Leave ends a request's wait; it is false when it did not wait.
func (b *Book) Leave(key Key, id uint64) bool {
	out, exists := b.outages[key]
	if !exists {
		return false
	}
	for i, waiter := range out.waiters {
		if waiter.ID == id {
			out.waiters = append(out.waiters[:i], out.waiters[i+1:]...)
			b.uncount(waiter)
			return true
		}
	}
	return false
}

func (b *Book) uncount(w Waiter) {
	b.total--
	b.waiting[w.Service]--
	if b.waiting[w.Service] == 0 {
		delete(b.waiting, w.Service)
	}
}

// Swept is what Sweep found for one waiting request.
type Swept struct {
	Waiter
	Key     Key
	Probe   bool // it is to probe; otherwise it is refused
	Refusal Refusal
}

// Sweep refuses requests that will not be served in time as far as can be told
// now, and chooses who probes. It is to be called every few milliseconds while
// requests wait.
func (b *Book) Sweep(now time.Time) []Swept {
	var swept []Swept
	for key, out := range b.outages {
		swept = b.sweepOutage(now, key, out, swept)
		if len(out.waiters) == 0 && !out.probing && now.Sub(out.touched) > forgetAfter {
			delete(b.outages, key)
		}
	}
	return swept
}

func (b *Book) sweepOutage(now time.Time, key Key, out *outage, swept []Swept) []Swept {
	remaining := b.remaining(now, out)
	kept := out.waiters[:0]
	for _, waiter := range out.waiters {
		hopeless := !now.Add(remaining).Before(waiter.Deadline)
		probes := !hopeless && !out.probing && !now.Before(out.next)
		if !hopeless && !probes {
			kept = append(kept, waiter)
			continue
		}
		b.uncount(waiter)
		found := Swept{Waiter: waiter, Key: key, Probe: probes}
		if probes {
			out.probing = true
			out.touched = now
		} else {
			found.Refusal = Refusal{Reason: callerapi.ReasonNoOwner, RetryAfter: remaining}
		}
		swept = append(swept, found)
	}
	out.waiters = kept
	return swept
}

// Waiting is how many requests wait.
func (b *Book) Waiting() int { return b.total }

// Outages is how many keys are out.
func (b *Book) Outages() int { return len(b.outages) }
