// Package transfer decides how many large answers a node has in flight, so that they leave memory for other answers and
// arrive in time over the node's link. It has no I/O, clock or lock: times are passed as arguments.
//
// It handles this load pattern: bursts of requests whose answers are hundreds of kilobytes, at nodes with little memory or a
// narrow link, and callers that read slowly. Without a bound all of these answers share the link and arrive late together, and
// an answer that no longer fits into the memory is lost after its request has run.
package transfer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/returns"
)

const (
	// defaultSize is the assumed size of an answer, in bytes, of a route without any answer.
	defaultSize = 128 << 10
	// defaultHold is the assumed time for which a request of such a route takes room.
	defaultHold = time.Second
	// answerWeight is the weight of one answer in the means of its route. Sizes vary by a factor of six; the sum of the
	// expected sizes of ten requests is then right to about a fifth.
	answerWeight = 0.1
	// minTimeShare is the share of the mean time with room that must remain until the deadline when a request gets room:
	// many requests take less than the mean.
	minTimeShare = 0.5
	// maxWaiting bounds the requests that wait for room at a node.
	maxWaiting = 400
)

// Limits are the resources of a node for large answers.
type Limits struct {
	Memory int64   // bytes that large answers may take; 0: no bound
	Link   float64 // bytes per second; 0: unknown, no bound
}

// Reason is the resource for which a request waits or is refused.
type Reason string

// The reasons.
const (
	Memory Reason = "memory for large answers is taken"
	Link   Reason = "link is busy with large answers"
)

// Request is a request for a large answer.
type Request struct {
	Route     string
	Priority  int // 0 is the most urgent
	ArrivedAt time.Time
	Deadline  time.Time
	Objective time.Duration // within which the link must deliver what is in flight; 0: the link is no bound

	bytes      int64     // counted for it: expected ones until its answer is there; 0: it has no room
	since      time.Time // when it got room
	receivedAt time.Time // when its answer was there; zero: it is not
}

// Refusal tells why a request gets no room, and when its caller should retry.
type Refusal struct {
	Request    *Request
	Reason     Reason
	RetryAfter time.Duration
}

// routeMeans are the means of a route's recent answers.
type routeMeans struct {
	size float64       // bytes
	hold time.Duration // for which a request took room
}

// Bounds holds the large answers of a node that are in flight, and the requests that wait.
type Bounds struct {
	limits   Limits
	random   *rand.Rand
	routes   map[string]*routeMeans
	inFlight map[*Request]struct{}
	bytes    int64      // counted for all in flight
	queue    []*Request // by priority, then arrival
}

// New returns bounds with nothing in flight.
func New(limits Limits, random *rand.Rand) *Bounds {
	return &Bounds{limits: limits, random: random, routes: map[string]*routeMeans{}, inFlight: map[*Request]struct{}{}}
}

// Bytes returns the bytes that are counted for the answers in flight.
func (b *Bounds) Bytes() int64 { return b.bytes }

// InFlight returns the number of requests that have room.
func (b *Bounds) InFlight() int { return len(b.inFlight) }

// Waiting returns the number of requests that wait.
func (b *Bounds) Waiting() int { return len(b.queue) }

// Submit gives a request room, refuses it, or lets it wait for a resource. Next then returns it when there is room.
func (b *Bounds) Submit(r *Request, now time.Time) (waitsFor Reason, refusal *Refusal) {
	place := b.placeOf(r)
	if place == 0 && b.exceeded(r, now) == "" {
		b.take(r, now)
		return "", nil
	}
	var ahead int64
	for _, other := range b.queue[:place] {
		ahead += b.size(other)
	}
	wait, reason := b.expectedWait(r, ahead, b.usage(now))
	if len(b.queue) >= maxWaiting || b.isTooLate(r, now.Add(wait)) {
		return "", b.refuse(r, reason, wait)
	}
	b.queue = slices.Insert(b.queue, place, r)
	return reason, nil
}

// Next returns the waiting requests that get room now, and those that would get it too late.
func (b *Bounds) Next(now time.Time) (admitted []*Request, refused []*Refusal) {
	for len(b.queue) > 0 && b.exceeded(b.queue[0], now) == "" {
		b.take(b.queue[0], now)
		admitted = append(admitted, b.queue[0])
		b.queue = slices.Delete(b.queue, 0, 1)
	}
	if len(b.queue) == 0 {
		return admitted, nil
	}
	var ahead int64
	used := b.usage(now)
	b.queue = slices.DeleteFunc(b.queue, func(r *Request) bool {
		wait, reason := b.expectedWait(r, ahead, used)
		if b.isTooLate(r, now.Add(wait)) {
			refused = append(refused, b.refuse(r, reason, wait))
			return true
		}
		ahead += b.size(r)
		return false
	})
	return admitted, refused
}

// TryHedge gives a request that has room as much once more, for a second attempt, unless others wait or it does not fit.
func (b *Bounds) TryHedge(r *Request, now time.Time) bool {
	if len(b.queue) > 0 || b.exceeded(r, now) != "" {
		return false
	}
	size := b.size(r)
	r.bytes += size
	b.bytes += size
	return true
}

// CancelHedge takes back the room of a second attempt that was not made.
func (b *Bounds) CancelHedge(r *Request) {
	size := min(b.size(r), r.bytes)
	r.bytes -= size
	b.bytes -= size
}

// Received records the size of a request's answer, which counts from now on in place of the expected one.
func (b *Bounds) Received(r *Request, bytes int64, now time.Time) {
	if _, hasRoom := b.inFlight[r]; !hasRoom {
		return
	}
	means := b.meansOf(r)
	means.size += answerWeight * (float64(bytes) - means.size)
	b.bytes += bytes - r.bytes
	r.bytes = bytes
	r.receivedAt = now
}

// Release takes back the room of a request that has ended, or ends its wait.
func (b *Bounds) Release(r *Request, now time.Time) {
	if _, hasRoom := b.inFlight[r]; !hasRoom {
		b.queue = slices.DeleteFunc(b.queue, func(other *Request) bool { return other == r })
		return
	}
	means := b.meansOf(r)
	means.hold += time.Duration(answerWeight * float64(now.Sub(r.since)-means.hold))
	delete(b.inFlight, r)
	b.bytes -= r.bytes
	r.bytes = 0
}

// GiveUp ends the wait of a request that no longer waits for room, and returns its refusal.
func (b *Bounds) GiveUp(r *Request, now time.Time) *Refusal {
	b.Release(r, now)
	wait, reason := b.expectedWait(r, 0, b.usage(now))
	return b.refuse(r, reason, wait)
}

// LatestStart returns the time after which room for a request would come too late.
func (b *Bounds) LatestStart(r *Request) time.Time {
	return r.Deadline.Add(-time.Duration(minTimeShare * float64(b.holdOf(r))))
}

func (b *Bounds) isTooLate(r *Request, start time.Time) bool { return start.After(b.LatestStart(r)) }

func (b *Bounds) take(r *Request, now time.Time) {
	r.bytes, r.since = b.size(r), now
	b.inFlight[r] = struct{}{}
	b.bytes += r.bytes
}

// exceeded returns the resource that is too small for one more answer; empty: there is room. A single answer always has room:
// a route whose expected size is beyond the bounds would otherwise never get another answer to correct it.
func (b *Bounds) exceeded(r *Request, now time.Time) Reason {
	size, link := b.size(r), b.linkLimit(r)
	switch {
	case len(b.inFlight) == 0:
		return ""
	case b.limits.Memory > 0 && b.bytes+size > b.limits.Memory:
		return Memory
	case link > 0 && b.bytes+size > link && b.linkBytes(now)+size > link:
		return Link
	}
	return ""
}

// linkLimit returns the bytes that the link delivers within the objective of a request; 0: no bound.
func (b *Bounds) linkLimit(r *Request) int64 { return int64(b.limits.Link * r.Objective.Seconds()) }

// linkBytes returns the bytes in flight that the link is expected to deliver within the objectives of their requests. An answer
// that has been written for longer than its objective is limited by its caller: it counts for what it delivers within the
// objective at its mean rate so far, at most.
func (b *Bounds) linkBytes(now time.Time) int64 {
	var sum int64
	for r := range b.inFlight {
		bytes := r.bytes
		if age := now.Sub(r.receivedAt); !r.receivedAt.IsZero() && age > r.Objective {
			bytes = int64(float64(bytes) * float64(r.Objective) / float64(age))
		}
		sum += bytes
	}
	return sum
}

// usage is what the answers in flight take of the node's resources at one time.
type usage struct {
	bytes, linkBytes int64
	hold             time.Duration // for which they take room, on average
}

func (b *Bounds) usage(now time.Time) usage {
	return usage{bytes: b.bytes, linkBytes: b.linkBytes(now), hold: b.meanHold(now)}
}

// expectedWait estimates after which time a request gets room, behind requests for a number of bytes, and for which resource it
// waits longest.
func (b *Bounds) expectedWait(r *Request, ahead int64, used usage) (time.Duration, Reason) {
	forMemory := b.waitFor(r, b.limits.Memory, used.bytes, ahead, used.hold)
	forLink := b.waitFor(r, b.linkLimit(r), used.linkBytes, ahead, used.hold)
	if link := b.linkLimit(r); forLink > forMemory || forLink == forMemory && link > 0 && (b.limits.Memory == 0 || link < b.limits.Memory) {
		return forLink, Link
	}
	return forMemory, Memory
}

// waitFor estimates the wait for a resource of which some bytes are used. While requests wait, all of it is given back once in the
// time for which an answer takes its own (Little's law). The bytes in flight now are no measure: they may be those of one small
// answer, with large ones behind it.
func (b *Bounds) waitFor(r *Request, limit, used, ahead int64, hold time.Duration) time.Duration {
	missing := min(used+ahead+b.size(r)-limit, used+ahead)
	if limit == 0 || missing <= 0 || used == 0 {
		return 0
	}
	turnover := max(limit, used, b.size(r))
	return time.Duration(float64(missing) / float64(turnover) * float64(hold))
}

// meanHold returns for how long the answers in flight take room, on average. One that has had it for longer than usual, as of a
// caller that reads slowly, is expected to keep it for as long again.
func (b *Bounds) meanHold(now time.Time) time.Duration {
	var sum time.Duration
	for r := range b.inFlight {
		age := now.Sub(r.since)
		if usual := b.holdOf(r); age <= usual {
			sum += usual
		} else {
			sum += 2 * age
		}
	}
	return sum / time.Duration(max(len(b.inFlight), 1))
}

// refuse returns the refusal of a request with an expected wait.
func (b *Bounds) refuse(r *Request, reason Reason, wait time.Duration) *Refusal {
	return &Refusal{Request: r, Reason: reason, RetryAfter: returns.Delay(wait, b.random)}
}

// size returns the expected size of a request's answer, in bytes.
func (b *Bounds) size(r *Request) int64 {
	if means := b.routes[r.Route]; means != nil {
		return max(int64(means.size), 1)
	}
	return defaultSize
}

// holdOf returns for how long a request is expected to take room.
func (b *Bounds) holdOf(r *Request) time.Duration {
	if means := b.routes[r.Route]; means != nil {
		return means.hold
	}
	return defaultHold
}

func (b *Bounds) meansOf(r *Request) *routeMeans {
	means := b.routes[r.Route]
	if means == nil {
		means = &routeMeans{size: defaultSize, hold: defaultHold}
		b.routes[r.Route] = means
	}
	return means
}

// placeOf returns the place of a request in the queue, behind its equals.
func (b *Bounds) placeOf(r *Request) int {
	place := slices.IndexFunc(b.queue, func(other *Request) bool { return compare(r, other) < 0 })
	if place < 0 {
		return len(b.queue)
	}
	return place
}

// compare orders requests by priority, then arrival.
func compare(a, b *Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.ArrivedAt.Compare(b.ArrivedAt)
}
