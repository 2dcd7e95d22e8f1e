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

// Probing of keys, to measure unavailable time. Each probe is short, so that
// its failure tells when a key went away and its answer when it came back.
const (
	probeEvery    = 50 * time.Millisecond
	probeDeadline = 200 * time.Millisecond
	probePrefix   = "probe/"
	// patientDeadline is that of probes once the usual ones did not find all keys
	// served for impatientFor after the faults.
	patientDeadline = 5 * time.Second
	impatientFor    = 10 * time.Second
)

// IsProbe tells the probes of a history from its requests.
func IsProbe(sent history.CallerSent) bool { return strings.HasPrefix(sent.CallerRequest, probePrefix) }

// prober probes one key until its context ends, one probe at a time. The last
// probe is finished.
type prober struct {
	client   *client
	key      OwnedKey
	index    int
	deadline time.Duration

	mu     sync.Mutex
	latest history.CallerAnswered
}

// bePatient gives later probes a deadline that a slow machine can meet too.
func (p *prober) bePatient() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = max(p.deadline, patientDeadline)
}

func (p *prober) limit() time.Duration {
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
			deadline: p.limit(),
		})
		p.mu.Lock()
		p.latest = answer
		p.mu.Unlock()
		if !clock.Wait(ctx, probeEvery-time.Since(began)) {
			return
		}
	}
}

func (p *prober) last() history.CallerAnswered {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

func (p *prober) healthy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest.Outcome == serverapi.OutcomeAnswered
}
