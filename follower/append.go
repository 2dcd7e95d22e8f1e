package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// appender assigns sequence numbers to this writer's records and appends them
// one at a time, so that they reach the log in sequence order.
type appender struct {
	f        *Follower
	sequence uint64
	deferred *submission // claimed, but could not share the last group's record
}

// runAppender is the appender's goroutine.
func (f *Follower) runAppender(ctx context.Context) {
	a := &appender{f: f}
	for ctx.Err() == nil {
		if first := a.next(ctx); first != nil {
			a.appendGroup(ctx, a.gather(first))
		}
	}
}

// next returns the next submission that was not abandoned, or nil when ctx ends.
func (a *appender) next(ctx context.Context) *submission {
	if deferred := a.deferred; deferred != nil {
		a.deferred = nil
		return deferred
	}
	for {
		select {
		case s := <-a.f.queue:
			if s.claimed.CompareAndSwap(false, true) {
				return s
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// gather groups the first submission with queued ones that can share its record.
func (a *appender) gather(first *submission) *group {
	g := newGroup(first)
	for {
		select {
		case s := <-a.f.queue:
			if !s.claimed.CompareAndSwap(false, true) {
				continue
			}
			if !g.add(s) {
				a.deferred = s
				return g
			}
			count(metricMerged, 1)
		default:
			return g
		}
	}
}

// appendGroup appends one record for a group of submissions.
func (a *appender) appendGroup(ctx context.Context, g *group) {
	a.sequence++
	data, err := record.Encode(g.build(a.f.writer, a.sequence))
	if err != nil {
		g.fail(&NotAppendedError{Cause: err})
		return
	}
	if !a.f.outcomes.expect(a.sequence, g) {
		g.fail(&NotAppendedError{Cause: &QueueFullError{Length: maxPending}})
		return
	}
	offset, err := a.appendRecord(ctx, g, data)
	if err != nil {
		a.f.outcomes.fail(a.sequence, err)
		return
	}
	if g.members[0].appendOnly {
		a.f.outcomes.resolve(a.sequence, state.Result{Offset: offset, Accepted: true})
	}
}

// appendRecord appends until the log confirms the append, the record is read
// back from the log, or no submitter waits for it. After a lost response it
// appends the same writer and sequence again: Apply ignores the second copy, so
// the record takes effect once, however late the first copy is appended. An
// abandoned record has no effect once the next sequence has been applied.
func (a *appender) appendRecord(ctx context.Context, g *group, data []byte) (topo.Offset, error) {
	retry := a.f.newBackoff()
	uncertain := false
	for {
		offset, err := a.f.appendOnce(ctx, data)
		if err == nil {
			return offset, nil
		}
		if isUnavailable(err) && !uncertain {
			count(metricNotAppended, len(g.members))
			return 0, &NotAppendedError{Cause: err}
		}
		if !isUnavailable(err) {
			uncertain = true
			count(metricUncertain, 1)
			eventAppendUncertain.Log(a.f.config.Logger, "sequence", a.sequence, "error", err)
		}
		if !retry.wait(ctx) || g.ended() {
			return 0, &UnknownOutcomeError{Cause: err}
		}
		if !a.f.outcomes.awaited(a.sequence) {
			return 0, nil
		}
		count(metricReappends, 1)
	}
}

// appendOnce appends once, limited by the adaptive append timeout.
func (f *Follower) appendOnce(ctx context.Context, data []byte) (topo.Offset, error) {
	limited, cancel := f.appendTimeout.limit(ctx, 0)
	defer cancel()
	begun := time.Now()
	offset, err := f.config.Log.Append(limited, data)
	f.appendTimeout.observe(time.Since(begun), err)
	if err == nil {
		count(metricAppends, 1)
		count(metricAppendBytes, len(data))
	}
	return offset, err
}

func isUnavailable(err error) bool {
	var unavailable *platlog.UnavailableError
	return errors.As(err, &unavailable)
}
