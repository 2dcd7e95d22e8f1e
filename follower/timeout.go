package follower

import (
	"context"
	"errors"
	"sync"
	"time"
)

// responseTimeFactor bounds a call by a multiple of the last response time.
const responseTimeFactor = 4

// adaptiveTimeout bounds the response time of calls to the log. It starts short,
// so that a stalled connection is replaced soon, and doubles while calls time
// out, so that a slow log remains usable. It is safe for concurrent use.
type adaptiveTimeout struct {
	mu               sync.Mutex
	initial, maximum time.Duration
	current          time.Duration
}

func newAdaptiveTimeout(initial, maximum time.Duration) *adaptiveTimeout {
	return &adaptiveTimeout{initial: initial, maximum: max(initial, maximum), current: initial}
}

// limit returns a context that ends after the current timeout plus held, the
// time for which the server is expected to hold the call open.
func (t *adaptiveTimeout) limit(ctx context.Context, held time.Duration) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return context.WithTimeout(ctx, held+t.current)
}

// observe adapts the timeout to a call's error and its response time, without
// the time for which the call was held open.
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
