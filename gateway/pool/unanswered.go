package pool

import (
	"slices"
	"time"
)

// A request whose answer is lost holds a place of the node's limit until its caller leaves.
// It answers servers that run what they get while answers do not come back: a node with a
// few places at the owner of a key then refused requests for seconds, although the owner
// told free slots with each answer that came.
//
// Such a request gives its place up, and goes on: its answer may still come. It must be
// older than answers usually are, and the server must have answered one that was
// sent after it and told room, so that it does not wait there. A server that answers
// nothing any more proves nothing, and its places stay taken.

// lostResponseFactor is after how many usual times such a request gives its place up. One in ten
// takes longer and is still at work: it has a slot, and the server told that others are free.
const lostResponseFactor = 2.0

// recordSend notes that a request goes to the server now.
func (m *member) recordSend(now time.Time) { m.sentAt = append(m.sentAt, now) }

// inFlight returns how many requests have not ended.
func (m *member) inFlight() int { return len(m.sentAt) }

// recordEnd takes that a request has ended that was under way for a while.
func (m *member) recordEnd(took time.Duration, now time.Time) {
	if len(m.sentAt) == 0 {
		return
	}
	sent := now.Add(-took)
	match := 0 // of those that were sent by then
	for i, at := range m.sentAt {
		if !at.After(sent) {
			match = i
		}
	}
	m.sentAt = slices.Delete(m.sentAt, match, match+1)
}

// recordEmptyQueue takes an answer that told room: requests that were sent before it do not wait at
// the server.
func (m *member) recordEmptyQueue(took time.Duration, now time.Time) {
	if sent := now.Add(-took); sent.After(m.queueEmptyAt) {
		m.queueEmptyAt = sent
	}
}

// takenSlots returns how many places of the limit are taken.
func (m *member) takenSlots(serviceTime float64, now time.Time) int {
	taken := 0
	for _, at := range m.sentAt {
		isLost := at.Before(m.queueEmptyAt) && now.Sub(at).Seconds() > lostResponseFactor*serviceTime
		if !isLost {
			taken++
		}
	}
	return taken
}
