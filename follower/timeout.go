package follower

import (
	"context"
	"errors"
	"sync"
	"time"
)

// responseTimeFactor is how many times the last answer's time a call may take.
const responseTimeFactor = 4

// adaptiveTimeout is how long a call to the log may go without an answer. It is short
// at first, so that a silent connection is replaced soon, and doubles while
// calls time out, so that a slow log is still used. It is safe for concurrent
// use.
type adaptiveTimeout struct {
	mu               sync.Mutex
	initial, maximum time.Duration
	current          time.Duration
}

func newAdaptiveTimeout(initial, maximum time.Duration) *adaptiveTimeout {
	return &adaptiveTimeout{initial: initial, maximum: max(initial, maximum), current: initial}
}

// limit returns a context that ends when the patience does, counted after a
// time for which the call is expected to be held.
func (t *adaptiveTimeout) limit(ctx context.Context, held time.Duration) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return context.WithTimeout(ctx, held+t.current)
}

// observe takes what became of a call that took some time beyond the time for
// which it was held.
func (t *adaptiveTimeout) observe(took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.current = min(max(t.initial, responseTimeFactor*took), t.maximum)
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		t.current = min(2*t.current, t.maximum)
	}
}
