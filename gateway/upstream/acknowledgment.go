package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

// acknowledgmentCheckDelay is how long after the start of a call its acknowledgment is checked.
// It exceeds the round-trip time between any two zones.
const acknowledgmentCheckDelay = 50 * time.Millisecond

// acknowledgment records by when the server's machine had acknowledged all bytes of a call.
type acknowledgment struct {
	mu      sync.Mutex
	isSent  bool      // all bytes have been written
	ackedAt time.Time // zero: unknown
}

// reset prepares for the next call.
func (a *acknowledgment) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isSent, a.ackedAt = false, time.Time{}
}

// markSent records that all bytes have been written. Before that, a count of 0 unacknowledged
// bytes does not mean that the call was acknowledged.
func (a *acknowledgment) markSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isSent = true
}

func (a *acknowledgment) wasSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isSent
}

// markAcknowledged records that all bytes have been acknowledged by a time. The first time
// is kept.
func (a *acknowledgment) markAcknowledged(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ackedAt.IsZero() {
		a.ackedAt = at
	}
}

// check records whether all bytes have been acknowledged by now. An unknown count of
// unacknowledged bytes is not treated as 0.
func (a *acknowledgment) check(conn net.Conn) {
	if !a.wasSent() {
		return
	}
	bytes, isKnown := socket.Unacknowledged(conn)
	if isKnown && bytes == 0 {
		a.markAcknowledged(clock.Now())
	}
}

func (a *acknowledgment) acknowledgedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ackedAt
}
