package peer

import (
	"context"
	"sync"
	"time"

	core "github.com/burdockspindle/burdockspindle/peer"
)

// link keeps the connection to one address for one kind of call. It opens a
// connection when a call needs one and there is none that works: none open,
// broken, made with earlier certificates, or silent while calls are waiting on
// it.
type link struct {
	kind    core.Kind
	address string
	dial    func(ctx context.Context, address string, kind core.Kind) (*wire, error)
	timing  linkTiming
	// generation tells that of the certificates in use now.
	generation func() uint64
	// onSilent is told of each connection that was replaced for silence, and
	// whether it is the first since the other side was last heard.
	onSilent func(l *link, first bool)

	mu      sync.Mutex
	current *wire
	opening *opening  // nil when no connection is being opened
	mute    bool      // nothing was heard since a connection was silent
	used    time.Time // when a call last took the link up
	closed  bool
}

// linkTiming says how long things may take.
type linkTiming struct {
	connect time.Duration // to open a connection
	silence time.Duration // without a byte while a call waits
}

// opening is a connection attempt that any number of calls wait for.
type opening struct {
	done chan struct{} // closed when wire or err is set
	wire *wire
	err  error
}

// acquire returns an open connection with the call counted on it; the caller
// ends it by wire.end. An error proves that nothing was sent.
func (l *link) acquire(ctx context.Context, allowance time.Duration) (*wire, error) {
	for {
		w, attempt := l.pick()
		if w == nil {
			var err error
			if w, err = attempt.wait(ctx); err != nil {
				return nil, err
			}
		}
		if w.begin(time.Now(), allowance) {
			return w, nil
		}
	}
}

// pick returns the usable connection, or the attempt to open one.
func (l *link) pick() (*wire, *opening) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.silent(time.Now(), l.timing.silence) {
		l.dropSilent()
	}
	if l.current != nil && (l.current.broken() || l.current.generation != l.generation()) {
		l.drop()
	}
	if l.current != nil {
		return l.current, nil
	}
	if l.closed {
		return nil, closedOpening()
	}
	if l.opening == nil {
		l.opening = &opening{done: make(chan struct{})}
		go l.open(l.opening)
	}
	return nil, l.opening
}

// drop retires the current connection; the mutex is held.
func (l *link) drop() {
	l.current.retire()
	l.current = nil
}

// dropSilent retires the current connection for silence; the mutex is held.
func (l *link) dropSilent() {
	l.onSilent(l, !l.mute)
	l.mute = true
	l.drop()
}

// heard notes that the other side answered.
func (l *link) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = false
}

// open opens a connection within the connect timeout, whatever becomes of the
// calls that wait for it.
func (l *link) open(attempt *opening) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timing.connect)
	defer cancel()
	attempt.wire, attempt.err = l.dial(ctx, l.address, l.kind)
	l.mu.Lock()
	l.opening = nil
	if attempt.err == nil {
		l.current = attempt.wire
	}
	if l.closed && l.current != nil {
		l.drop()
		attempt.wire, attempt.err = nil, &ClosedError{}
	}
	l.mu.Unlock()
	close(attempt.done)
}

func closedOpening() *opening {
	o := &opening{done: make(chan struct{}), err: &ClosedError{}}
	close(o.done)
	return o
}

func (o *opening) wait(ctx context.Context) (*wire, error) {
	select {
	case <-o.done:
		return o.wire, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// discard closes a connection on which a call got no byte within its timeout.
func (l *link) discard(w *wire) {
	l.mu.Lock()
	if l.current == w {
		l.dropSilent()
	}
	l.mu.Unlock()
	w.close()
}

// touch notes that a call is about to use the link.
func (l *link) touch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = now
}

// unusedSince reports whether no call has used the link since a moment and none
// is under way.
func (l *link) unusedSince(moment time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := l.opening != nil || (l.current != nil && l.current.underWay() > 0)
	return !busy && l.used.Before(moment)
}

func (l *link) dump() linkDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := linkDump{Address: l.address, Kind: l.kind, Open: l.current != nil}
	if l.current != nil {
		row.Calls = l.current.underWay()
	}
	return row
}

// close cuts off the connection and refuses new ones.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	w := l.current
	l.current = nil
	l.mu.Unlock()
	if w != nil {
		w.retire()
		w.close()
	}
}

// ClosedError reports a call made after the module stopped.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "peer module is stopped" }
