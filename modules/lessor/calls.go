package lessor

import (
	"context"
	"sync"
	"time"
)

const (
	// maxCalls bounds the calls in flight of one group. A member has at most one
	// with each server and probed node, and heartbeats time out after SuspectAfter.
	maxCalls = 256
	// maxAnnouncements bounds the announcements in flight of one group.
	maxAnnouncements = 64
	// maxWrites bounds the records in flight: one claim and one record of
	// assignments, and as many of an earlier term.
	maxWrites = 4
	// probesPerSuspicion is how many probes fit in SuspectAfter.
	probesPerSuspicion = 2
)

// calls runs the calls that a worker has begun, each in a separate goroutine, so that
// an unresponsive peer does not delay anything else.
type calls struct {
	running sync.WaitGroup
	slots   chan struct{}
	// results has capacity for the result of every call and record, so that no call
	// waits for the worker.
	results chan input
}

func newCalls(limit int) *calls {
	return &calls{
		slots:   make(chan struct{}, limit),
		results: make(chan input, limit+maxWrites),
	}
}

// hasSlot reports whether another call can begin. A call that cannot begin is counted
// in metricCallsDeferred and begins later, because it remains due.
func (c *calls) hasSlot() bool {
	if len(c.slots) < cap(c.slots) {
		return true
	}
	metricCallsDeferred.Add(1)
	return false
}

// begin runs a call for at most timeout. Its result, unless nil, is sent to the
// worker. Only the worker's goroutine may call begin, after hasSlot has returned true.
func (c *calls) begin(ctx context.Context, timeout time.Duration, call func(context.Context) input) {
	c.slots <- struct{}{}
	c.running.Go(func() {
		defer func() { <-c.slots }()
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c.sendResult(ctx, call(limited))
	})
}

// write runs a call without a timeout. It ends when the outcome of a record is
// known.
func (c *calls) write(ctx context.Context, call func(context.Context) input) {
	c.running.Go(func() { c.sendResult(ctx, call(ctx)) })
}

func (c *calls) sendResult(ctx context.Context, result input) {
	if result == nil {
		return
	}
	select {
	case c.results <- result:
	case <-ctx.Done():
	}
}
