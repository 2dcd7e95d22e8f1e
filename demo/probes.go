package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Probing of keys, to measure unavailable time. Each probe is short, so that
// its failure tells when a key went away and its answer when it came back.
const (
	probeEvery    = 50 * time.Millisecond
	probeDeadline = 200 * time.Millisecond
	probePrefix   = "probe/"
)

// IsProbe tells the probes of a history from its requests.
func IsProbe(sent history.CallerSent) bool { return strings.HasPrefix(sent.CallerRequest, probePrefix) }

// prober probes one key until its context ends, one probe at a time. The last
// probe is finished.
type prober struct {
	client *client
	key    OwnedKey
	index  int

	mu       sync.Mutex
	answered bool // the latest probe was
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
			deadline: probeDeadline,
		})
		p.mu.Lock()
		p.answered = answer.Outcome == serverapi.OutcomeAnswered
		p.mu.Unlock()
		if !sleep(ctx, probeEvery-time.Since(began)) {
			return
		}
	}
}

func (p *prober) healthy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered
}
