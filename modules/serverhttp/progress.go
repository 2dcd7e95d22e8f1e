package serverhttp

import (
	"sync"
	"time"
)

// progress detects an attempt without progress. It applies only to the server: it
// is suspended while the next progress is due from the caller.
type progress struct {
	limit     time.Duration
	onStalled func()

	mu           sync.Mutex
	lastProgress time.Time
	holds        int
	ended        bool
	timer        *time.Timer
}

// watchProgress starts the detection; onStalled is called at most once, after limit passed
// without progress.
func watchProgress(limit time.Duration, onStalled func()) *progress {
	p := &progress{limit: limit, onStalled: onStalled, lastProgress: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(limit, p.check)
	return p
}

// touch records that bytes were read or written.
func (p *progress) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastProgress = time.Now()
}

// hold suspends the detection until release; holds nest.
func (p *progress) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds++
}

// release ends one hold and restarts the limit.
func (p *progress) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds--
	p.lastProgress = time.Now()
}

// end stops the detection.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
}

func (p *progress) check() {
	if p.stalled() {
		p.onStalled()
	}
}

// stalled reports whether the limit has passed without progress, and otherwise
// schedules the next check for the earliest time at which it may have.
func (p *progress) stalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	left := p.limit - time.Since(p.lastProgress)
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
