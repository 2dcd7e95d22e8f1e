package follower

import (
	"context"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// submission is one Submit under way.
type submission struct {
	ctx    context.Context
	record *bspb.Record
	// appendOnly asks for the offset of the append, without its result.
	appendOnly bool
	// claimed is set by whoever comes first: the appender, or the caller giving
	// up while the record still waits in the queue.
	claimed  atomic.Bool
	response chan submitResponse // capacity 1; gets exactly one answer at most
}

// submitResponse is the end of one Submit.
type submitResponse struct {
	outcome Fate
	err     error
}

// Submit implements Appender. Errors are *NotAppendedError, with a
// *QueueFullError, the log's or the context's error as cause, and
// *UnknownFateError. The record is not changed and must not be changed by the
// caller afterwards.
func (f *Follower) Submit(ctx context.Context, rec *bspb.Record) (Fate, error) {
	return f.await(&submission{ctx: ctx, record: rec, response: make(chan submitResponse, 1)})
}

// appendOnly appends a record and returns its offset, or that of the copy that
// the log answered last. It is used where no record can be applied.
func (f *Follower) appendOnly(ctx context.Context, rec *bspb.Record) (topo.Offset, error) {
	outcome, err := f.await(&submission{
		ctx: ctx, record: rec, appendOnly: true, response: make(chan submitResponse, 1),
	})
	return outcome.Offset, err
}

// await queues a submission and waits for its end.
func (f *Follower) await(s *submission) (Fate, error) {
	select {
	case <-f.done:
		return Fate{}, &NotAppendedError{Cause: &StoppedError{}}
	default:
	}
	select {
	case f.queue <- s:
	default:
		count(metricQueueFull, 1)
		return Fate{}, &NotAppendedError{Cause: &QueueFullError{Length: cap(f.queue)}}
	}
	select {
	case response := <-s.response:
		return response.outcome, response.err
	case <-s.ctx.Done():
		return s.abandon(s.ctx.Err())
	case <-f.done:
		return s.abandon(&StoppedError{})
	}
}

// abandon ends a Submit at once. If the record still waits in the queue, it will
// never be appended; if its answer has just come, that is returned.
func (s *submission) abandon(cause error) (Fate, error) {
	if s.claimed.CompareAndSwap(false, true) {
		count(metricNotAppended, 1)
		return Fate{}, &NotAppendedError{Cause: cause}
	}
	select {
	case response := <-s.response:
		return response.outcome, response.err
	default:
		count(metricUnknownOutcome, 1)
		return Fate{}, &UnknownFateError{Cause: cause}
	}
}
