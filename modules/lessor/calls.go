package lessor

import (
	"context"
	"sync"
	"time"
)

const (
	// callsMost bounds the calls of one group that are under way. A member has
	// at most one with each server and probed node, and heartbeats end after
	// SuspectAfter.
	callsMost = 256
	// announcementsMost bounds the announcements of one group under way.
	announcementsMost = 64
	// writesMost bounds the records under way: one claim and one record of
	// assignments, and as many of an earlier term.
	writesMost = 4
	// probesPerSuspicion is how many probes fit in the suspicion time.
	probesPerSuspicion = 2
)

// calls runs the calls that a worker has begun, each in a goroutine of its own,
// so that a silent other end holds up nothing else.
type calls struct {
	running sync.WaitGroup
	places  chan struct{}
	// ended has room for every call and record, so that no call waits for the
	// worker.
	ended chan input
}

func newCalls(most int) *calls {
	return &calls{
		places: make(chan struct{}, most),
		ended:  make(chan input, most+writesMost),
	}
}

// room reports whether another call can begin; one that cannot is counted and
// begun later, since it stays due.
func (c *calls) room() bool {
	if len(c.places) < cap(c.places) {
		return true
	}
	metricCallsFull.Add(1)
	return false
}

// begin runs a call for at most timeout. Its end, unless nil, is told to the
// worker. Only the worker's goroutine begins calls, after room.
func (c *calls) begin(ctx context.Context, timeout time.Duration, call func(context.Context) input) {
	c.places <- struct{}{}
	c.running.Go(func() {
		defer func() { <-c.places }()
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c.tell(ctx, call(limited))
	})
}

// write runs a call that ends when the fate of a record is known.
func (c *calls) write(ctx context.Context, call func(context.Context) input) {
	c.running.Go(func() { c.tell(ctx, call(ctx)) })
}

func (c *calls) tell(ctx context.Context, end input) {
	if end == nil {
		return
	}
	select {
	case c.ended <- end:
	case <-ctx.Done():
	}
}
