// Package submit writes a duty's records to the log, one batch at a time. While a
// batch is being written, the duty's further decisions are deferred and made
// again from the state after the batch, so that no stale records are queued.
package submit

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/ring"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Timeout limits the time for writing one record.
const Timeout = 10 * time.Second

// After a batch in which a record's outcome is unknown, or a record had no
// effect, the writer accepts no further batch for a pause that doubles from
// minPause to maxPause, so that a duty does not add load to the log during an
// outage of the log or while its own view of the state is stale.
const (
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// Submission is one record with the callback for its outcome.
type Submission struct {
	Record *bspb.Record
	// Done is called with the outcome, or with the error because of which it is
	// unknown. It may be nil.
	Done func(outcome follower.Outcome, err error)
}

// Writer writes batches. Offer may be called concurrently with Run.
type Writer struct {
	appender follower.Appender
	queue    *ring.Ring[[]Submission]
	busy     atomic.Bool
	finished chan struct{}
	deferred atomic.Uint64
	written  atomic.Uint64
	failed   atomic.Uint64
}

// NewWriter returns a writer, which writes only while Run runs.
func NewWriter(name string, appender follower.Appender) *Writer {
	return &Writer{
		appender: appender,
		queue:    ring.New[[]Submission](name, 1, ring.DropNew),
		finished: make(chan struct{}, 1),
	}
}

// Offer queues a batch and reports whether it was accepted. An empty batch is not
// accepted, nor is any batch while another one is being written.
func (w *Writer) Offer(ctx context.Context, batch []Submission) bool {
	if len(batch) == 0 {
		return false
	}
	if !w.busy.CompareAndSwap(false, true) {
		w.deferred.Add(1)
		return false
	}
	// The queue has a free slot because the writer was idle.
	return w.queue.Put(ctx, batch) == nil
}

// Finished returns a channel that receives a value after a batch was written.
func (w *Writer) Finished() <-chan struct{} { return w.finished }

// Run writes batches until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	pause := minPause
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-w.queue.Items():
			if w.writeAll(ctx, batch) {
				pause = minPause
			} else {
				sleep(ctx, pause)
				pause = min(2*pause, maxPause)
			}
			w.finish()
		}
	}
}

// sleep waits for a random time between half of pause and pause.
func sleep(ctx context.Context, pause time.Duration) {
	clock.Wait(ctx, pause/2+rand.N(pause/2))
}

// writeAll writes a batch and reports whether every record is known to have
// taken effect.
func (w *Writer) writeAll(ctx context.Context, batch []Submission) bool {
	allAccepted := true
	for _, submission := range batch {
		allAccepted = w.write(ctx, submission) && allAccepted
	}
	return allAccepted
}

func (w *Writer) finish() {
	w.busy.Store(false)
	select {
	case w.finished <- struct{}{}:
	default: // an earlier value was not received yet
	}
}

func (w *Writer) write(ctx context.Context, submission Submission) bool {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	outcome, err := w.appender.Submit(ctx, submission.Record)
	w.written.Add(1)
	if err != nil {
		w.failed.Add(1)
	}
	if submission.Done != nil {
		submission.Done(outcome, err)
	}
	return err == nil && outcome.Accepted
}

// Dump contains the writer's counts for the state dump.
type Dump struct {
	Busy     bool   `json:"busy"`
	Deferred uint64 `json:"putOff"`
	Written  uint64 `json:"written"`
	Failed   uint64 `json:"failed"` // records of Written whose outcome is unknown
}

// Dump returns the writer's counts.
func (w *Writer) Dump() Dump {
	return Dump{Busy: w.busy.Load(), Deferred: w.deferred.Load(), Written: w.written.Load(), Failed: w.failed.Load()}
}
