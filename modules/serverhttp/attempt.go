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

// attempt is one request on one connection. It tracks whether a byte of the
// request may have been sent, and closes the connection if it makes no progress.
type attempt struct {
	server       topo.ServerID
	stallTimeout time.Duration
	ctx          context.Context
	cancel       context.CancelFunc
	progress     *progress
	stalled      atomic.Bool
	reused       atomic.Bool

	mu     sync.Mutex
	conn   *trackedConn
	sent   bool // a byte may have been sent
	sealed bool // no further byte may be sent
	ended  bool
}

// newAttempt starts an attempt; the caller must call end.
func newAttempt(ctx context.Context, server topo.ServerID, stallTimeout time.Duration) *attempt {
	a := &attempt{server: server, stallTimeout: stallTimeout}
	ctx, a.cancel = context.WithCancel(ctx)
	a.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn,
		// The number of interim responses is not limited.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	})
	a.progress = watchProgress(stallTimeout, a.onStalled)
	return a
}

// gotConn binds a connection to the attempt.
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

func (a *attempt) onStalled() {
	a.stalled.Store(true)
	metricStalled.Add(1)
	a.cancel()
	a.discard()
}

// discard closes the attempt's connection, unless another attempt has taken it
// over.
func (a *attempt) discard() {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn != nil && conn.user.CompareAndSwap(a, nil) {
		_ = conn.Close()
	}
}

// beginWrite is called before bytes are written to the socket. allowed is false
// after seal; first is true for the first bytes of the request.
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

// undoWrite reverts beginWrite for a first write of which the kernel accepted
// no byte.
func (a *attempt) undoWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = false
}

// seal prevents further bytes of the request from being sent, and reports
// whether one may have been sent before.
func (a *attempt) seal() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.sent
}

// end releases the resources of the attempt. It may be called more than once,
// and reports whether this was the first call.
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

// failure seals the attempt and returns the error for a missing or incomplete
// response.
func (a *attempt) failure(cause error) *backend.AttemptError {
	sent := a.seal()
	a.discard()
	stalled := a.stalled.Load()
	if stalled {
		cause = &StalledError{After: a.stallTimeout}
	}
	return &backend.AttemptError{Server: a.server, Sent: sent, Unresponsive: stalled, Cause: cause}
}
