package frontend

import (
	"context"
	"sync"
	"time"
)

// drainRetryAfter is the delay after which a caller refused by a draining node may
// retry: by then the balancer routes it to another node.
const drainRetryAfter = time.Second

// phase is a phase of a front end; phases only advance.
type phase int

const (
	phaseServing   phase = iota // healthy
	phaseUnhealthy              // health endpoint fails, requests are still served
	phaseRefusing               // new requests are refused
)

// drainState tracks the phase and the number of requests in flight.
type drainState struct {
	mu       sync.Mutex
	phase    phase
	inFlight int
	idle     chan struct{} // closed when refusing and nothing is in flight
}

func newDrainState() *drainState {
	return &drainState{idle: make(chan struct{})}
}

// enter counts a new request; it returns false if new requests are refused.
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

func (d *drainState) inFlightCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// waitIdle blocks until new requests are refused and none is in flight; it returns
// the error of ctx if ctx ends first.
func (d *drainState) waitIdle(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
