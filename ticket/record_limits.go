package ticket

import "time"

// dropOld drops finished tickets that are past the age limit.
func (r *Record) dropOld(now time.Time) {
	for front := r.finished.Front(); front != nil; front = r.finished.Front() {
		oldest := front.Value.(*entry)
		if now.Sub(oldest.at) <= r.limits.Age {
			return
		}
		r.drop(oldest)
	}
}

// shrink brings the record back within its limits, oldest first: answers are
// dropped before tickets.
func (r *Record) shrink() {
	for r.bytes > r.limits.AnswerBytes {
		r.dropAnswer(r.bodies.Front().Value.(*entry))
	}
	for r.finished.Len() > r.limits.Tickets {
		r.drop(r.finished.Front().Value.(*entry))
	}
}

func (r *Record) dropAnswer(old *entry) {
	if old.inBodies == nil {
		return
	}
	r.bodies.Remove(old.inBodies)
	old.inBodies = nil
	r.bytes -= old.answer.size()
	old.answer = nil
}

func (r *Record) drop(old *entry) {
	r.dropAnswer(old)
	r.finished.Remove(old.inFinished)
	delete(r.entries, old.ticket)
	r.dropped++
	r.raiseFloor(old.ticket)
}

// raiseFloor makes a dropped ticket, and those of its issuer before it, Stale.
func (r *Record) raiseFloor(t Ticket) {
	floor, exists := r.floors[t.Issuer]
	if !exists && t.Issuer.Born <= r.youngestDropped {
		// All of that issuer's tickets are Stale already. A floor of its own
		// could be lower than one that was given up before.
		return
	}
	r.floors[t.Issuer] = max(floor, t.Sequence)
	for len(r.floors) > r.limits.Issuers {
		r.dropEldestIssuer()
	}
}

// dropEldestIssuer gives up the floor of the issuer that started first; it and
// every issuer that is not younger have all their tickets Stale from now on,
// unless they have a floor of their own.
func (r *Record) dropEldestIssuer() {
	var eldest Issuer
	first := true
	for issuer := range r.floors {
		if first || issuer.Born < eldest.Born {
			eldest, first = issuer, false
		}
	}
	delete(r.floors, eldest)
	r.youngestDropped = max(r.youngestDropped, eldest.Born)
}

// belowFloor reports whether a ticket that is not in the record may have been
// dropped from it.
func (r *Record) belowFloor(t Ticket) bool {
	if floor, exists := r.floors[t.Issuer]; exists {
		return t.Sequence <= floor
	}
	return t.Issuer.Born <= r.youngestDropped
}

// Dump describes a record for the state dump.
type Dump struct {
	Running     int
	Finished    int
	AnswerBytes int
	Issuers     int
	Dropped     uint64 // tickets dropped so far
}

// Dump returns the record's size.
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
