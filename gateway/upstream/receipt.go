package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

// receiptAfter is when it is looked whether a call has been acknowledged: after the round
// trip between any two zones.
const receiptAfter = 50 * time.Millisecond

// receipt is by when the server's machine had all bytes of a call.
type receipt struct {
	mu           sync.Mutex
	isSent       bool      // all bytes have been written
	acknowledged time.Time // zero: not known
}

// begin forgets what was acknowledged, for the next call.
func (r *receipt) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isSent, r.acknowledged = false, time.Time{}
}

// sent notes that all bytes have been written. Before that nothing is unacknowledged either.
func (r *receipt) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isSent = true
}

func (r *receipt) wasSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSent
}

// note takes that all bytes have been acknowledged by a time.
func (r *receipt) note(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acknowledged.IsZero() {
		r.acknowledged = at
	}
}

// look notes whether all bytes have been acknowledged by now. A count that is not known
// tells nothing.
func (r *receipt) look(conn net.Conn) {
	if !r.wasSent() {
		return
	}
	bytes, isKnown := socket.Unacknowledged(conn)
	if isKnown && bytes == 0 {
		r.note(clock.Now())
	}
}

func (r *receipt) at() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acknowledged
}
