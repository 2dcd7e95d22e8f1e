package frontend

import (
	"context"
	"sync"
	"time"
)

// drainRetryAfter is when a caller that was refused by a draining node may come
// back: the balancer has then sent it to another one.
const drainRetryAfter = time.Second

// Phases of a front end, in order.
type phase int

const (
	phaseServing  phase = iota // healthy
	phaseAnnounce              // health endpoint fails, requests are still served
	phaseRefusing              // new requests are refused
)

// drainState counts requests in flight and holds the phase.
type drainState struct {
	mu       sync.Mutex
	phase    phase
	inFlight int
	idle     chan struct{} // closed when refusing and nothing is in flight
}

func newDrainState() *drainState {
	return &drainState{idle: make(chan struct{})}
}

// enter counts a request in; it is false when new requests are refused.
func (d *drainState) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == phaseRefusing {
		return false
	}
	d.inFlight++
	return true
}

func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.closeIfIdle()
}

func (d *drainState) closeIfIdle() {
	if d.phase == phaseRefusing && d.inFlight == 0 {
		select {
		case <-d.idle:
		default:
			close(d.idle)
		}
	}
}

// advance moves to a later phase; an earlier one is ignored.
func (d *drainState) advance(to phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if to > d.phase {
		d.phase = to
	}
	d.closeIfIdle()
}

func (d *drainState) healthy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase == phaseServing
}

func (d *drainState) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// waitIdle blocks until no request is in flight; it returns the context's
// error when that ends first.
func (d *drainState) waitIdle(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
