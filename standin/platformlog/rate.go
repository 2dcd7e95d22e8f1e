package platformlog

import (
	"sync"
	"time"
)

// rateLimit is a token bucket for appends whose burst size equals its rate per
// second.
type rateLimit struct {
	mu         sync.Mutex
	perSecond  float64 // 0 means no limit
	tokens     float64
	refilledAt time.Time
}

func newRateLimit(perSecond int) *rateLimit {
	return &rateLimit{perSecond: float64(perSecond), tokens: float64(perSecond)}
}

// take takes one token and reports whether the append is allowed.
func (l *rateLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond <= 0 {
		return true
	}
	if !l.refilledAt.IsZero() {
		l.tokens = min(l.perSecond, l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond)
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
