// Package returns decides when refused callers should return, and in which order they go when they do. It has no I/O,
// clock or lock: times and random numbers are arguments.
//
// It handles this load pattern: a burst beyond the capacity, in which refused callers return while others still make
// their first attempt. If every refusal states a delay of its own, callers return together and are refused again. The
// schedule spreads them over the room that is expected beside first attempts. Callers return to any node of the site;
// since all nodes promise by the same rule, each gets about as many callers as it has asked to return.
package returns

import "time"

const (
	// slotLength is the length of a time slot of the schedule: less than a service time.
	slotLength = 50 * time.Millisecond
	// slotCount bounds how far ahead room is promised: beyond the longest delay that is stated to callers, 2 s.
	slotCount = 64
	// minFree is the part of a slot's room that must be free for another promise.
	minFree = 0.5
)

// Schedule holds the promises to callers of one service and priority at a node, and measures the room for more.
// Its zero value is a schedule without promises.
type Schedule struct {
	admitted, firsts rate
	origin           time.Time // start of slot 0
	current          int64     // number of the slot of the latest promise
	// taken holds how many requests' room is promised in each slot from current on, at the slot's number modulo
	// slotCount.
	taken [slotCount]float64
}

// Bounds are the bounds of the delay of a caller.
type Bounds struct {
	Least   time.Duration // before that no slot of a server is expected to be free
	Most    time.Duration // the caller returns by then whatever delay is stated
	Longest time.Duration // delay of a caller whose return does not fit
}

// Promise is when a refused caller should return, and why.
type Promise struct {
	After time.Duration
	Fits  bool // whether room is expected for the caller then
	// Admitted and Firsts are the admitted requests and the first attempts per second at this node.
	Admitted, Firsts float64
}

// CountFirst counts the first attempt of a caller.
func (s *Schedule) CountFirst(now time.Time) { s.firsts.add(now) }

// CountAdmitted counts an admitted request.
func (s *Schedule) CountAdmitted(now time.Time) { s.admitted.add(now) }

// Promise returns the earliest time with room within the bounds and takes the room of one request from there on. jitter,
// from 0 to 1, is the place in the slot. A caller whose return does not fit takes no room.
//
// The room is the rate at which requests are admitted, since returning callers go before first attempts. Where requests are
// refused, first attempts alone take all of it, so that their rate cannot be subtracted.
func (s *Schedule) Promise(bounds Bounds, jitter float64, now time.Time) Promise {
	p := Promise{After: bounds.Longest, Admitted: s.admitted.perSecond(now), Firsts: s.firsts.perSecond(now)}
	s.advance(now)
	room := p.Admitted * slotLength.Seconds()
	if room <= 0 {
		return p
	}
	last := s.slotAt(now.Add(bounds.Most))
	for slot := s.slotAt(now.Add(bounds.Least)); slot <= min(last, s.current+slotCount-1); slot++ {
		if s.taken[slot%slotCount] > (1-minFree)*room {
			continue
		}
		after := s.origin.Add(time.Duration(slot)*slotLength + time.Duration(jitter*float64(slotLength))).Sub(now)
		if after = max(after, bounds.Least); after > bounds.Most {
			return p
		}
		s.take(slot, room)
		p.After, p.Fits = after, true
		return p
	}
	return p
}

// take takes the room of one request from a slot and those after it.
func (s *Schedule) take(slot int64, room float64) {
	needed := 1.0
	for ; needed > 0 && slot < s.current+slotCount; slot++ {
		taken := &s.taken[slot%slotCount]
		part := min(needed, max(0, room-*taken))
		*taken += part
		needed -= part
	}
}

// advance clears the slots that have passed since the latest promise.
func (s *Schedule) advance(now time.Time) {
	if s.origin.IsZero() {
		s.origin = now
	}
	slot := s.slotAt(now)
	for passed := s.current; passed < min(slot, s.current+slotCount); passed++ {
		s.taken[passed%slotCount] = 0
	}
	s.current = max(s.current, slot)
}

func (s *Schedule) slotAt(at time.Time) int64 { return int64(at.Sub(s.origin) / slotLength) }
