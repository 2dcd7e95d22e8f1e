package serverhttp

import (
	"context"

	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/topo"
)

// attempt is one request on one connection. It proves whether a byte of it was
// sent, and gives the connection up when that makes no progress.
type attempt struct {
	server      topo.ServerID
	silentAfter time.Duration
	ctx         context.Context
	cancel      context.CancelFunc
	progress    *progress
	silent      atomic.Bool
	reused      atomic.Bool

	mu     sync.Mutex
	conn   *trackedConn
	sent   bool // a byte may have left
	sealed bool // no byte may leave any more
	ended  bool
}

// newAttempt starts an attempt that must be ended by end.
func newAttempt(ctx context.Context, server topo.ServerID, silentAfter time.Duration) *attempt {
	a := &attempt{server: server, silentAfter: silentAfter}
	ctx, a.cancel = context.WithCancel(ctx)
	a.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn,
		// Any number of interim responses may come.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	})
	a.progress = watch(silentAfter, a.onSilent)
	return a
}

// gotConn ties a connection to the attempt.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, is := info.Conn.(*trackedConn)
	if !is {
		return
	}
	a.reused.Store(info.Reused)
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	conn.user.Store(a)
	a.progress.touch()
}

func (a *attempt) onSilent() {
	a.silent.Store(true)
	metricSilent.Add(1)
	a.cancel()
	a.throwAway()
}

// throwAway closes the attempt's connection, unless another attempt uses it by
// now.
func (a *attempt) throwAway() {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn != nil && conn.user.CompareAndSwap(a, nil) {
		_ = conn.Close()
	}
}

// beginWrite is called before bytes are handed to the system; false when none
// may leave any more. first is true for the first bytes.
func (a *attempt) beginWrite() (first, allowed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return false, false
	}
	first = !a.sent
	a.sent = true
	return first, true
}

// undoWrite takes a first write back that handed over nothing.
func (a *attempt) undoWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = false
}

// seal lets no further byte of the request leave, and tells whether one may
// have left.
func (a *attempt) seal() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.sent
}

// end gives back what the attempt holds. It may be called more than once, and
// reports whether this was the first time.
func (a *attempt) end() bool {
	a.mu.Lock()
	first := !a.ended
	a.ended = true
	a.mu.Unlock()
	if first {
		a.progress.end()
		a.cancel()
	}
	return first
}

// failure ends the sending and describes why there is no answer, or no whole
// one.
func (a *attempt) failure(cause error) *backend.AttemptError {
	sent := a.seal()
	a.throwAway()
	silent := a.silent.Load()
	if silent {
		cause = &SilentError{After: a.silentAfter}
	}
	return &backend.AttemptError{Server: a.server, Sent: sent, Silent: silent, Cause: cause}
}
