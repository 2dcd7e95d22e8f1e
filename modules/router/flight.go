package router

import (
	"context"
	"io"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// flight tracks the progress of one forwarded request.
type flight struct {
	sent         atomic.Bool // bytes of the request may have been sent
	reused       atomic.Bool
	stalled      atomic.Bool
	cancel       context.CancelCauseFunc
	stallTimeout time.Duration

	mu    sync.Mutex
	conn  *sentConn
	base  int64 // bytes written to conn before the request got it
	timer *time.Timer
}

// trace returns a trace that records the request's connection; a connection or a
// 1xx response restarts the stall timeout.
func (f *flight) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			f.reused.Store(info.Reused)
			f.gotConn(sentConnOf(info.Conn))
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			f.progress()
			return nil
		},
	}
}

// gotConn records the connection and how much had been written to it before. When
// net/http replaces a connection that was closed before anything was written,
// bytes that were written to the replaced connection still count as sent.
func (f *flight) gotConn(conn *sentConn) {
	f.progress()
	f.noteSent()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = conn
	if conn == nil {
		f.sent.Store(true) // writes cannot be observed
		return
	}
	f.base = conn.written.Load()
}

func (f *flight) noteSent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && f.conn.written.Load() > f.base {
		f.sent.Store(true)
	}
}

func (f *flight) mayHaveSent() bool {
	f.noteSent()
	return f.sent.Load()
}

func (f *flight) startStallTimer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(f.stallTimeout, f.abort)
}

func (f *flight) abort() {
	f.stalled.Store(true)
	f.cancel(&stallError{})
}

// progress restarts the stall timeout.
func (f *flight) progress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer != nil && !f.stalled.Load() {
		f.timer.Reset(f.stallTimeout)
	}
}

func (f *flight) stopStallTimer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer != nil {
		f.timer.Stop()
	}
}

// guardedBody aborts the forwarded request if reading the answer's body makes no
// progress, and cancels it when the body is closed.
type guardedBody struct {
	io.ReadCloser
	flight *flight
}

// Read implements io.Reader. The stall timeout runs only while the answer is
// read, because a slow caller does not make the other node unresponsive.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.flight.progress()
	count, err := b.ReadCloser.Read(p)
	b.flight.stopStallTimer()
	return count, err
}

// Close implements io.Closer.
func (b *guardedBody) Close() error {
	b.flight.stopStallTimer()
	err := b.ReadCloser.Close()
	b.flight.cancel(nil)
	return err
}
