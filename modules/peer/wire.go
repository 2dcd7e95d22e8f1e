package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// wire is one open connection to one node for one kind of call, with the calls
// that are under way on it.
type wire struct {
	conn   *http.ClientConn
	socket *socket
	client bspbconnect.PeerServiceClient
	// generation is that of the certificates with which the wire was made.
	generation uint64

	mu      sync.Mutex
	calls   int
	retired bool
	// waitingSince is when the wire last went from no call to one.
	waitingSince time.Time
	// allowedUntil is how long the calls under way may rightly be without an
	// answer, because they asked the other side to wait.
	allowedUntil time.Time
}

// Do implements connect.HTTPClient over this one connection.
func (w *wire) Do(req *http.Request) (*http.Response, error) { return w.conn.RoundTrip(req) }

// begin counts a call that may wait for allowance; it fails on a wire that was
// replaced meanwhile.
func (w *wire) begin(now time.Time, allowance time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retired {
		return false
	}
	if w.calls == 0 {
		w.waitingSince = now
		w.allowedUntil = now
	}
	w.calls++
	if until := now.Add(allowance); until.After(w.allowedUntil) {
		w.allowedUntil = until
	}
	return true
}

// end counts a call as over and closes a replaced wire after its last call.
func (w *wire) end() {
	w.mu.Lock()
	w.calls--
	closing := w.retired && w.calls == 0
	w.mu.Unlock()
	if closing {
		w.close()
	}
}

// retire lets the calls under way finish and refuses new ones.
func (w *wire) retire() {
	w.mu.Lock()
	closing := !w.retired && w.calls == 0
	w.retired = true
	w.mu.Unlock()
	if closing {
		w.close()
	}
}

// silent reports whether calls are under way and nothing arrived for a time.
func (w *wire) silent(now time.Time, after time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == 0 {
		return false
	}
	since := w.waitingSince
	if w.allowedUntil.After(since) {
		since = w.allowedUntil
	}
	if now.Sub(since) < after {
		return false
	}
	return !w.socket.readSince(now.Add(-after))
}

// underWay returns the number of calls on the wire.
func (w *wire) underWay() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// broken reports whether the connection is known to be of no more use.
func (w *wire) broken() bool { return w.conn.Err() != nil }

// close cuts the connection off, with any call on it.
func (w *wire) close() {
	// Close may wait for the connection's writer; the socket goes first.
	_ = w.socket.Close()
	_ = w.conn.Close()
}
