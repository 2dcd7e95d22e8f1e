// Package submit writes a duty's records to the log, one batch at a time. While
// a batch is being written the duty's further decisions are put off, and made
// anew from the state that then holds, so that nothing out of date queues up.
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

// Timeout bounds the writing of one record.
const Timeout = 10 * time.Second

// After a batch in which a record's fate was not learnt, or a record had no
// effect, the writer takes no further batch for a while that doubles from
// pauseFirst to pauseMost, so that a duty does not turn an outage of the log, or
// an old picture of the state, into a load of its own.
const (
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
)

// Submission is one record and what is done with its fate.
type Submission struct {
	Record *bspb.Record
	// Done is called with the fate, or with the error that left it unknown. It
	// may be nil.
	Done func(fate follower.Fate, err error)
}

// Writer writes batches. Offer may be called concurrently with Run.
type Writer struct {
	appender follower.Appender
	queue    *ring.Ring[[]Submission]
	busy     atomic.Bool
	finished chan struct{}
	putOff   atomic.Uint64
	written  atomic.Uint64
	failed   atomic.Uint64
}

// NewWriter returns a writer; Run must be started for it to write.
func NewWriter(name string, appender follower.Appender) *Writer {
	return &Writer{
		appender: appender,
		queue:    ring.New[[]Submission](name, 1, ring.DropNew),
		finished: make(chan struct{}, 1),
	}
}

// Offer hands over a batch and reports whether it was taken: an empty batch, or
// any while another is being written, is not.
func (w *Writer) Offer(ctx context.Context, batch []Submission) bool {
	if len(batch) == 0 {
		return false
	}
	if !w.busy.CompareAndSwap(false, true) {
		w.putOff.Add(1)
		return false
	}
	// There is room, since the writer was idle.
	return w.queue.Put(ctx, batch) == nil
}

// Finished receives after a batch was written.
func (w *Writer) Finished() <-chan struct{} { return w.finished }

// Run writes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	pause := pauseFirst
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-w.queue.Items():
			if w.writeAll(ctx, batch) {
				pause = pauseFirst
			} else {
				sleep(ctx, pause)
				pause = min(2*pause, pauseMost)
			}
			w.finish()
		}
	}
}

// sleep waits for a random time between half of pause and pause.
func sleep(ctx context.Context, pause time.Duration) {
	clock.Wait(ctx, pause/2+rand.N(pause/2))
}

// writeAll reports whether every record is known to have taken effect.
func (w *Writer) writeAll(ctx context.Context, batch []Submission) bool {
	whole := true
	for _, one := range batch {
		whole = w.write(ctx, one) && whole
	}
	return whole
}

func (w *Writer) finish() {
	w.busy.Store(false)
	select {
	case w.finished <- struct{}{}:
	default: // an earlier one was not received yet
	}
}

func (w *Writer) write(ctx context.Context, one Submission) bool {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	fate, err := w.appender.Submit(ctx, one.Record)
	w.written.Add(1)
	if err != nil {
		w.failed.Add(1)
	}
	if one.Done != nil {
		one.Done(fate, err)
	}
	return err == nil && fate.Accepted
}

// Dump is the writer's part of the state dump.
type Dump struct {
	Busy    bool   `json:"busy"`
	PutOff  uint64 `json:"putOff"`
	Written uint64 `json:"written"`
	Failed  uint64 `json:"failed"` // of those written, fate not learnt
}

// Dump returns the writer's counts.
func (w *Writer) Dump() Dump {
	return Dump{Busy: w.busy.Load(), PutOff: w.putOff.Load(), Written: w.written.Load(), Failed: w.failed.Load()}
}
