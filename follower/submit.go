package follower

import (
	"context"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// submission is a Submit call in flight.
type submission struct {
	ctx    context.Context
	record *bspb.Record
	// appendOnly requests the offset of the append, without the record's result.
	appendOnly bool
	// claimed is set by the appender when it takes the record from the queue, or
	// by the caller when it abandons the record before that.
	claimed  atomic.Bool
	response chan submitResponse // capacity 1; receives at most one response
}

// submitResponse is the result of a Submit call.
type submitResponse struct {
	outcome Outcome
	err     error
}

// Submit implements Appender. Errors are *NotAppendedError, with a
// *QueueFullError, the log's or the context's error as cause, and
// *UnknownOutcomeError. Submit does not change the record, and the caller must
// not change it afterwards.
func (f *Follower) Submit(ctx context.Context, rec *bspb.Record) (Outcome, error) {
	return f.await(&submission{ctx: ctx, record: rec, response: make(chan submitResponse, 1)})
}

// appendOnly appends a record and returns the offset that the log confirmed. It is
// used while no record can be applied, so that outcomes cannot be read back.
func (f *Follower) appendOnly(ctx context.Context, rec *bspb.Record) (topo.Offset, error) {
	outcome, err := f.await(&submission{
		ctx: ctx, record: rec, appendOnly: true, response: make(chan submitResponse, 1),
	})
	return outcome.Offset, err
}

// await queues a submission and waits for its response.
func (f *Follower) await(s *submission) (Outcome, error) {
	select {
	case <-f.done:
		return Outcome{}, &NotAppendedError{Cause: &StoppedError{}}
	default:
	}
	select {
	case f.queue <- s:
	default:
		count(metricQueueFull, 1)
		return Outcome{}, &NotAppendedError{Cause: &QueueFullError{Length: cap(f.queue)}}
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

// abandon ends a Submit call at once. A record that is still queued will never be
// appended. A response that has just arrived is returned.
func (s *submission) abandon(cause error) (Outcome, error) {
	if s.claimed.CompareAndSwap(false, true) {
		count(metricNotAppended, 1)
		return Outcome{}, &NotAppendedError{Cause: cause}
	}
	select {
	case response := <-s.response:
		return response.outcome, response.err
	default:
		count(metricUnknownOutcome, 1)
		return Outcome{}, &UnknownOutcomeError{Cause: cause}
	}
}
