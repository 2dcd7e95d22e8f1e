// Package logfault wraps a log with faults, for tests and the demo. Wrapping
// the shared log gives faults for everybody; wrapping it again for one process
// gives faults of that process's connection alone.
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

// InjectedError is the cause of every error that a Log adds.
type InjectedError struct{ Fault string }

// Error implements error.
func (e *InjectedError) Error() string { return "injected fault: " + e.Fault }

// Faults says what goes wrong. The zero value is a healthy log.
type Faults struct {
	// ReadsDown and AppendsDown refuse calls at once; nothing is appended.
	ReadsDown   bool
	AppendsDown bool
	// Silent leaves calls without an answer until they are given up; nothing is
	// appended. Calls under way when it is set get no answer either.
	Silent bool
	// Slow delays every call, SlowAppends appends further.
	Slow        time.Duration
	SlowAppends time.Duration
	// LoseAnswers appends, but loses the answers of this many appends.
	LoseAnswers int
	// LoseRequests loses this many appends; their callers cannot tell that
	// nothing was appended.
	LoseRequests int
	// LateAppends loses the answers of this many appends, which take effect
	// LateBy after their callers were told.
	LateAppends int
	LateBy      time.Duration
	// Repeat gives this many entries before the one asked for again.
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

// Wrap returns inner with settable faults, healthy at first.
func Wrap(inner platlog.Log) *Log {
	return &Log{inner: inner}
}

// Set replaces the faults.
func (l *Log) Set(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Down refuses every call from now on.
func (l *Log) Down() { l.Set(Faults{ReadsDown: true, AppendsDown: true}) }

// Heal ends all faults.
func (l *Log) Heal() { l.Set(Faults{}) }

// Faults returns what still goes wrong; counts fall as they are used up.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Settle waits until every late append has taken effect.
func (l *Log) Settle() { l.late.Wait() }

// Append implements platlog.Log.
func (l *Log) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	if err := l.pass(ctx, opAppend); err != nil {
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
	if err := l.pass(ctx, opRead); err != nil {
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
	if l.Faults().Silent {
		return platlog.Batch{}, l.pass(ctx, opRead)
	}
	return l.repeat(ctx, req, batch), nil
}

// readsDown ends reads while they are refused, also those under way.
func (l *Log) readsDown() error {
	if !l.Faults().ReadsDown {
		return nil
	}
	return &platlog.UnavailableError{Op: opRead, Cause: &InjectedError{Fault: "down"}}
}

// appendFault is what happens to one append.
type appendFault int

const (
	faultNone appendFault = iota
	faultDown
	faultRequest
	faultLate
	faultAnswer
)

// takeAppendFault returns the next append's fault and uses up its count.
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

// pass delays a call, or holds it while the log is silent.
func (l *Log) pass(ctx context.Context, op string) error {
	l.mu.Lock()
	slow := l.faults.Slow
	if op == opAppend {
		slow += l.faults.SlowAppends
	}
	l.mu.Unlock()
	if slow > 0 && !clock.Wait(ctx, slow) {
		return l.givenUp(ctx, op)
	}
	if l.Faults().Silent {
		<-ctx.Done()
		return l.givenUp(ctx, op)
	}
	return nil
}

// givenUp is the error of a call without an answer.
func (l *Log) givenUp(ctx context.Context, op string) error {
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
		_, _ = l.inner.Append(context.Background(), data) // nobody waits for it
	})
}

// repeat puts earlier entries before a batch, as far as they are retained.
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
