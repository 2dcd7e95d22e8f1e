// Package logfault injects faults into a log, for tests and the demo. Wrapping
// the shared log affects every process; wrapping it again for one process affects
// only that process's connection.
package logfault

import (
	"context"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	opAppend = "append"
	opRead   = "read"
)

// InjectedError is the cause of every injected error.
type InjectedError struct{ Fault string }

// Error implements error.
func (e *InjectedError) Error() string { return "injected fault: " + e.Fault }

// Faults describes the faults of a log. The zero value is a healthy log.
type Faults struct {
	// ReadsDown and AppendsDown refuse calls immediately; nothing is appended.
	ReadsDown   bool
	AppendsDown bool
	// Unresponsive leaves calls without a response until their context ends;
	// nothing is appended. Reads in flight and calls still delayed by Slow when it
	// is set get no response either.
	Unresponsive bool
	// Slow delays every call; SlowAppends further delays appends.
	Slow        time.Duration
	SlowAppends time.Duration
	// LoseAnswers is the number of appends that take effect, but whose responses
	// are lost.
	LoseAnswers int
	// LoseRequests is the number of appends that are lost; their callers cannot
	// detect that nothing was appended.
	LoseRequests int
	// LateAppends is the number of appends whose responses are lost and which take
	// effect LateBy after the call has returned its error.
	LateAppends int
	LateBy      time.Duration
	// Repeat is the number of entries before the requested offset that reads
	// return again.
	Repeat int
}

// Log is a log with faults. It is safe for concurrent use.
type Log struct {
	inner platlog.Log

	mu     sync.Mutex
	faults Faults
	late   sync.WaitGroup
}

var _ platlog.Log = (*Log)(nil)

// Wrap returns a Log over inner, initially without faults.
func Wrap(inner platlog.Log) *Log {
	return &Log{inner: inner}
}

// Set replaces the faults.
func (l *Log) Set(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Down makes the log refuse every call.
func (l *Log) Down() { l.Set(Faults{ReadsDown: true, AppendsDown: true}) }

// Heal removes all faults.
func (l *Log) Heal() { l.Set(Faults{}) }

// Faults returns the remaining faults; each injected fault decrements its count.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Settle waits until every late append has taken effect.
func (l *Log) Settle() { l.late.Wait() }

// Append implements platlog.Log.
func (l *Log) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	if err := l.delayCall(ctx, opAppend); err != nil {
		return 0, err
	}
	switch l.takeAppendFault() {
	case faultDown:
		return 0, &platlog.UnavailableError{Op: opAppend, Cause: &InjectedError{Fault: "down"}}
	case faultRequest:
		return 0, &platlog.UncertainError{Cause: &InjectedError{Fault: "request lost"}}
	case faultLate:
		l.appendLate(data)
		return 0, &platlog.UncertainError{Cause: &InjectedError{Fault: "late"}}
	case faultAnswer:
		if _, err := l.inner.Append(ctx, data); err != nil {
			return 0, err
		}
		return 0, &platlog.UncertainError{Cause: &InjectedError{Fault: "answer lost"}}
	}
	return l.inner.Append(ctx, data)
}

// Read implements platlog.Log.
func (l *Log) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	if err := l.delayCall(ctx, opRead); err != nil {
		return platlog.Batch{}, err
	}
	if err := l.readsDown(); err != nil {
		return platlog.Batch{}, err
	}
	batch, err := l.inner.Read(ctx, req)
	if err != nil {
		return platlog.Batch{}, err
	}
	if err := l.readsDown(); err != nil {
		return platlog.Batch{}, err
	}
	if l.Faults().Unresponsive {
		return platlog.Batch{}, l.delayCall(ctx, opRead)
	}
	return l.repeat(ctx, req, batch), nil
}

// readsDown returns an error while reads are refused. It is also checked after a
// read, so that reads in flight fail too.
func (l *Log) readsDown() error {
	if !l.Faults().ReadsDown {
		return nil
	}
	return &platlog.UnavailableError{Op: opRead, Cause: &InjectedError{Fault: "down"}}
}

// appendFault is the fault of one append.
type appendFault int

const (
	faultNone appendFault = iota
	faultDown
	faultRequest
	faultLate
	faultAnswer
)

// takeAppendFault returns the fault of the next append and decrements its count.
func (l *Log) takeAppendFault() appendFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.AppendsDown:
		return faultDown
	case l.faults.LateAppends > 0:
		l.faults.LateAppends--
		return faultLate
	case l.faults.LoseRequests > 0:
		l.faults.LoseRequests--
		return faultRequest
	case l.faults.LoseAnswers > 0:
		l.faults.LoseAnswers--
		return faultAnswer
	}
	return faultNone
}

// delayCall delays a call, or blocks it until its context ends while the log is
// unresponsive.
func (l *Log) delayCall(ctx context.Context, op string) error {
	l.mu.Lock()
	slow := l.faults.Slow
	if op == opAppend {
		slow += l.faults.SlowAppends
	}
	l.mu.Unlock()
	if slow > 0 && !clock.Wait(ctx, slow) {
		return l.timeoutError(ctx, op)
	}
	if l.Faults().Unresponsive {
		<-ctx.Done()
		return l.timeoutError(ctx, op)
	}
	return nil
}

// timeoutError returns the error of a call whose context ended without a response.
func (l *Log) timeoutError(ctx context.Context, op string) error {
	if op == opAppend {
		return &platlog.UncertainError{Cause: ctx.Err()}
	}
	return ctx.Err()
}

func (l *Log) appendLate(data []byte) {
	l.mu.Lock()
	delay := l.faults.LateBy
	l.mu.Unlock()
	l.late.Go(func() {
		time.Sleep(delay)
		_, _ = l.inner.Append(context.Background(), data) // the caller has already received an error
	})
}

// repeat prepends earlier entries to a batch, as far as they are retained.
func (l *Log) repeat(ctx context.Context, req platlog.ReadRequest, batch platlog.Batch) platlog.Batch {
	again := topo.Offset(l.Faults().Repeat)
	if again == 0 || req.From <= 1 {
		return batch
	}
	from := max(batch.First, 1)
	if req.From > from+again {
		from = req.From - again
	}
	earlier, err := l.inner.Read(ctx, platlog.ReadRequest{From: from, Max: int(req.From - from)})
	if err != nil {
		return batch
	}
	batch.Entries = append(earlier.Entries, batch.Entries...)
	return batch
}
