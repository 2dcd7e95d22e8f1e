package platformlog

import (
	"sync"
	"time"
)

// rateLimit allows a number of appends a second, and as many at once.
type rateLimit struct {
	mu        sync.Mutex
	perSecond float64 // 0 sets no limit
	tokens    float64
	at        time.Time
}

func newRateLimit(perSecond int) *rateLimit {
	return &rateLimit{perSecond: float64(perSecond), tokens: float64(perSecond)}
}

// take reports whether an append is allowed now.
func (l *rateLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond <= 0 {
		return true
	}
	if !l.at.IsZero() {
		l.tokens = min(l.perSecond, l.tokens+now.Sub(l.at).Seconds()*l.perSecond)
	}
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
