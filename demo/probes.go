package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Parameters of the probes that measure unavailable time. Each probe has a short deadline, so
// that a failure and the next answer show when a key became unavailable and available again.
const (
	probeEvery    = 50 * time.Millisecond
	probeDeadline = 200 * time.Millisecond
	probePrefix   = "probe/"
	// extendedProbeDeadline applies if probes with probeDeadline did not find all keys
	// served within shortProbePeriod after the faults.
	extendedProbeDeadline = 5 * time.Second
	shortProbePeriod      = 10 * time.Second
)

// IsProbe reports whether an attempt of a history is a probe rather than a request.
func IsProbe(sent history.CallerSent) bool { return strings.HasPrefix(sent.CallerRequest, probePrefix) }

// prober probes one key until its context ends, one probe at a time. The last
// probe is completed.
type prober struct {
	client   *client
	key      OwnedKey
	index    int
	deadline time.Duration

	mu     sync.Mutex
	latest history.CallerAnswered
}

// extendDeadline gives later probes a deadline that a slow machine can also meet.
func (p *prober) extendDeadline() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = max(p.deadline, extendedProbeDeadline)
}

func (p *prober) currentDeadline() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadline
}

func (p *prober) run(ctx context.Context) {
	for number := 1; ; number++ {
		began := time.Now()
		answer := p.client.send(context.WithoutCancel(ctx), attempt{
			caller:   fmt.Sprintf("prober-%d", p.index),
			request:  fmt.Sprintf("%s%d/%d", probePrefix, p.index, number),
			number:   1,
			service:  p.key.Service,
			keyed:    true,
			record:   p.key.Key,
			method:   http.MethodGet,
			deadline: p.currentDeadline(),
		})
		p.mu.Lock()
		p.latest = answer
		p.mu.Unlock()
		if !clock.Wait(ctx, probeEvery-time.Since(began)) {
			return
		}
	}
}

func (p *prober) latestAnswer() history.CallerAnswered {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

func (p *prober) healthy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest.Outcome == serverapi.OutcomeAnswered
}
