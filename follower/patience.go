package follower

import (
	"context"
	"errors"
	"sync"
	"time"
)

// answersMargin is how many times the last answer's time a call may take.
const answersMargin = 4

// patience is how long a call to the log may go without an answer. It is short
// at first, so that a silent connection is replaced soon, and doubles while
// calls time out, so that a slow log is still used. It is safe for concurrent
// use.
type patience struct {
	mu          sync.Mutex
	first, most time.Duration
	now         time.Duration
}

func newPatience(first, most time.Duration) *patience {
	return &patience{first: first, most: max(first, most), now: first}
}

// limit returns a context that ends when the patience does, counted after a
// time for which the call is expected to be held.
func (p *patience) limit(ctx context.Context, held time.Duration) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return context.WithTimeout(ctx, held+p.now)
}

// learn takes what became of a call that took some time beyond the time for
// which it was held.
func (p *patience) learn(took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.now = min(max(p.first, answersMargin*took), p.most)
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		p.now = min(2*p.now, p.most)
	}
}
