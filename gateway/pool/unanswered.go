package pool

import (
	"slices"
	"time"
)

// A request whose response is lost holds a slot of the node's limit until its caller leaves.
// Servers may run requests while their responses are lost: a node with a few slots at the
// owner of a key then refused requests for seconds, although the owner reported free slots
// with each response that arrived.
//
// Such a request releases its slot and continues, because its response may still arrive. It
// must be older than usual service times, and the server must have answered a request that
// was sent after it and reported free slots, which shows that it does not wait there. A
// server that answers nothing any more gives no such evidence, and its slots stay taken.

// lostResponseFactor is the number of usual service times after which such a request releases
// its slot. One request in ten takes longer and is still running: it has a slot, and the
// server reported that others are free.
const lostResponseFactor = 2.0

// recordSend records that a request is sent to the server now.
func (m *member) recordSend(now time.Time) {
	m.sentAt = append(m.sentAt, now)
	m.sentWork = append(m.sentWork, 0)
}

// inFlight returns the number of requests that have not ended.
func (m *member) inFlight() int { return len(m.sentAt) }

// recordEnd removes the request that ended now after the given time in flight.
func (m *member) recordEnd(took time.Duration, now time.Time) {
	if len(m.sentAt) == 0 {
		return
	}
	sent := now.Add(-took)
	match := 0 // index of the latest send by then
	for i, at := range m.sentAt {
		if !at.After(sent) {
			match = i
		}
	}
	m.sentAt = slices.Delete(m.sentAt, match, match+1)
	m.sentWork = slices.Delete(m.sentWork, match, match+1)
}

// recordEmptyQueue records a response that reported free slots and no queue: requests that
// were sent before the answered one do not wait at the server.
func (m *member) recordEmptyQueue(took time.Duration, now time.Time) {
	if sent := now.Add(-took); sent.After(m.queueEmptyAt) {
		m.queueEmptyAt = sent
	}
}

// takenSlots returns the number of slots of the limit that are taken.
func (p *Pool) takenSlots(m *member, now time.Time) int {
	taken := 0
	isGuided, serviceTime := p.isGuided(now), p.serviceTime(m, now)
	for i, at := range m.sentAt {
		usual := serviceTime
		if isGuided && m.sentWork[i] > 0 {
			usual = m.sentWork[i] * m.relative(now)
		}
		isLost := at.Before(m.queueEmptyAt) && now.Sub(at).Seconds() > lostResponseFactor*usual
		if !isLost {
			taken++
		}
	}
	return taken
}
