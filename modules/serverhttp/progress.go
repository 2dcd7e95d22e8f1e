package serverhttp

import (
	"sync"
	"time"
)

// progress watches whether an attempt moves on. It judges only the server:
// while the caller is the one to send or to read, it is held.
type progress struct {
	limit    time.Duration
	onSilent func()

	mu    sync.Mutex
	last  time.Time
	holds int
	ended bool
	timer *time.Timer
}

// watch starts to watch; onSilent is called once, when nothing moved for limit.
func watch(limit time.Duration, onSilent func()) *progress {
	p := &progress{limit: limit, onSilent: onSilent, last: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(limit, p.check)
	return p
}

// touch notes that bytes moved.
func (p *progress) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = time.Now()
}

// hold stops the judging until release.
func (p *progress) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds++
}

// release ends one hold; the wait starts anew.
func (p *progress) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds--
	p.last = time.Now()
}

// end stops the watch.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
}

func (p *progress) check() {
	if p.silent() {
		p.onSilent()
	}
}

// silent reports whether the limit has passed, and otherwise looks again when
// it may have.
func (p *progress) silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	left := p.limit - time.Since(p.last)
	if p.holds > 0 {
		left = p.limit
	}
	if left > 0 {
		p.timer.Reset(left)
		return false
	}
	p.ended = true
	return true
}
