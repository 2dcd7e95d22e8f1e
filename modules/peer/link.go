package peer

import (
	"context"
	"sync"
	"time"

	core "github.com/burdockspindle/burdockspindle/peer"
)

// link manages the connection to one address for one kind of call. It opens a
// connection when a call needs one and there is no usable one: none is open, or
// it is broken, was made with earlier certificates, or has stalled while calls
// are waiting on it.
type link struct {
	kind    core.Kind
	address string
	dial    func(ctx context.Context, address string, kind core.Kind) (*peerConn, error)
	timing  linkTiming
	// generation returns the generation of the current certificates.
	generation func() uint64
	// onStalled is called for each stalled connection that is replaced; first
	// reports whether it is the first since the peer last responded.
	onStalled func(l *link, first bool)

	mu           sync.Mutex
	current      *peerConn
	pending      *dialAttempt // nil when no connection is being opened
	unresponsive bool         // the peer has not responded since a connection stalled
	lastUsed     time.Time    // time of the latest call
	closed       bool
}

// linkTiming has the timeouts of a link.
type linkTiming struct {
	connectTimeout time.Duration // limit for opening a connection
	stallTimeout   time.Duration // limit without a received byte while a call waits
}

// dialAttempt is an attempt to open a connection; any number of calls wait for it.
type dialAttempt struct {
	done chan struct{} // closed when conn or err is set
	conn *peerConn
	err  error
}

// acquire returns an open connection with the call counted on it; the caller
// must call peerConn.end afterwards. An error proves that nothing was sent.
func (l *link) acquire(ctx context.Context, allowance time.Duration) (*peerConn, error) {
	for {
		conn, attempt := l.pick()
		if conn == nil {
			var err error
			if conn, err = attempt.wait(ctx); err != nil {
				return nil, err
			}
		}
		if conn.begin(time.Now(), allowance) {
			return conn, nil
		}
	}
}

// pick returns the usable connection, or else the attempt to open one.
func (l *link) pick() (*peerConn, *dialAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.stalled(time.Now(), l.timing.stallTimeout) {
		l.dropStalled()
	}
	if l.current != nil && (l.current.broken() || l.current.generation != l.generation()) {
		l.drop()
	}
	if l.current != nil {
		return l.current, nil
	}
	if l.closed {
		return nil, closedDialAttempt()
	}
	if l.pending == nil {
		l.pending = &dialAttempt{done: make(chan struct{})}
		go l.open(l.pending)
	}
	return nil, l.pending
}

// drop retires the current connection; the caller holds l.mu.
func (l *link) drop() {
	l.current.retire()
	l.current = nil
}

// dropStalled retires the stalled current connection; the caller holds l.mu.
func (l *link) dropStalled() {
	l.onStalled(l, !l.unresponsive)
	l.unresponsive = true
	l.drop()
}

// recordResponse records that the peer responded.
func (l *link) recordResponse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = false
}

// open opens a connection within the connect timeout, independently of the
// contexts of the calls that wait for it.
func (l *link) open(attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timing.connectTimeout)
	defer cancel()
	attempt.conn, attempt.err = l.dial(ctx, l.address, l.kind)
	l.mu.Lock()
	l.pending = nil
	if attempt.err == nil {
		l.current = attempt.conn
	}
	if l.closed && l.current != nil {
		l.drop()
		attempt.conn, attempt.err = nil, &ClosedError{}
	}
	l.mu.Unlock()
	close(attempt.done)
}

func closedDialAttempt() *dialAttempt {
	a := &dialAttempt{done: make(chan struct{}), err: &ClosedError{}}
	close(a.done)
	return a
}

func (a *dialAttempt) wait(ctx context.Context) (*peerConn, error) {
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// discard closes a connection on which a call received no byte within its timeout.
func (l *link) discard(conn *peerConn) {
	l.mu.Lock()
	if l.current == conn {
		l.dropStalled()
	}
	l.mu.Unlock()
	conn.close()
}

// touch records that a call is about to use the link.
func (l *link) touch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = now
}

// unusedSince reports whether no call has used the link since the given time and
// none is in flight.
func (l *link) unusedSince(moment time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := l.pending != nil || (l.current != nil && l.current.inFlight() > 0)
	return !busy && l.lastUsed.Before(moment)
}

func (l *link) dump() linkDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := linkDump{Address: l.address, Kind: l.kind, Open: l.current != nil}
	if l.current != nil {
		row.Calls = l.current.inFlight()
	}
	return row
}

// close closes the connection with its calls and refuses new ones.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	conn := l.current
	l.current = nil
	l.mu.Unlock()
	if conn != nil {
		conn.retire()
		conn.close()
	}
}

// ClosedError reports a call made after the module stopped.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "peer module is stopped" }
