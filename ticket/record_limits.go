package ticket

import "time"

// dropExpired drops finished tickets that exceed the age limit.
func (r *Record) dropExpired(now time.Time) {
	for front := r.finished.Front(); front != nil; front = r.finished.Front() {
		oldest := front.Value.(*entry)
		if now.Sub(oldest.finishedAt) <= r.limits.Age {
			return
		}
		r.drop(oldest)
	}
}

// enforceLimits drops the oldest answers and then the oldest tickets until the
// record is within its limits.
func (r *Record) enforceLimits() {
	for r.bytes > r.limits.AnswerBytes {
		r.dropAnswer(r.bodies.Front().Value.(*entry))
	}
	for r.finished.Len() > r.limits.Tickets {
		r.drop(r.finished.Front().Value.(*entry))
	}
}

func (r *Record) dropAnswer(e *entry) {
	if e.bodyElement == nil {
		return
	}
	r.bodies.Remove(e.bodyElement)
	e.bodyElement = nil
	r.bytes -= e.answer.size()
	e.answer = nil
}

func (r *Record) drop(e *entry) {
	r.dropAnswer(e)
	r.finished.Remove(e.finishedElement)
	delete(r.entries, e.ticket)
	r.dropped++
	r.raiseFloor(e.ticket)
}

// raiseFloor makes a dropped ticket and all earlier tickets of its issuer Stale.
func (r *Record) raiseFloor(t Ticket) {
	floor, exists := r.floors[t.Issuer]
	if !exists && t.Issuer.StartMillis <= r.latestDroppedStart {
		// All of the issuer's tickets are Stale already. A new floor for it could
		// be lower than a floor of it that was dropped before.
		return
	}
	r.floors[t.Issuer] = max(floor, t.Sequence)
	for len(r.floors) > r.limits.Issuers {
		r.dropOldestIssuer()
	}
}

// dropOldestIssuer drops the floor of the issuer that started first. From then
// on all tickets of this issuer, and of every issuer that started no later and
// has no floor, are Stale.
func (r *Record) dropOldestIssuer() {
	var oldest Issuer
	first := true
	for issuer := range r.floors {
		if first || issuer.StartMillis < oldest.StartMillis {
			oldest, first = issuer, false
		}
	}
	delete(r.floors, oldest)
	r.latestDroppedStart = max(r.latestDroppedStart, oldest.StartMillis)
}

// belowFloor reports whether a ticket that is not in the record may have been
// dropped from it.
func (r *Record) belowFloor(t Ticket) bool {
	if floor, exists := r.floors[t.Issuer]; exists {
		return t.Sequence <= floor
	}
	return t.Issuer.StartMillis <= r.latestDroppedStart
}

// Dump contains a record's sizes for the state dump.
type Dump struct {
	Running     int
	Finished    int
	AnswerBytes int
	Issuers     int
	Dropped     uint64 // tickets dropped so far
}

// Dump returns the record's sizes.
func (r *Record) Dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{
		Running:     len(r.entries) - r.finished.Len(),
		Finished:    r.finished.Len(),
		AnswerBytes: r.bytes,
		Issuers:     len(r.floors),
		Dropped:     r.dropped,
	}
}
