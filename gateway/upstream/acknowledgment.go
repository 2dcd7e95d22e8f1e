package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

// acknowledgmentCheckDelay is when it is looked whether a call has been acknowledged: after the round
// trip between any two zones.
const acknowledgmentCheckDelay = 50 * time.Millisecond

// acknowledgment is by when the server's machine had all bytes of a call.
type acknowledgment struct {
	mu      sync.Mutex
	isSent  bool      // all bytes have been written
	ackedAt time.Time // zero: not known
}

// reset forgets what was acknowledged, for the next call.
func (a *acknowledgment) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isSent, a.ackedAt = false, time.Time{}
}

// markSent notes that all bytes have been written. Before that nothing is unacknowledged either.
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

// markAcknowledged takes that all bytes have been acknowledged by a time.
func (a *acknowledgment) markAcknowledged(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ackedAt.IsZero() {
		a.ackedAt = at
	}
}

// check notes whether all bytes have been acknowledged by now. A count that is not known
// tells nothing.
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
