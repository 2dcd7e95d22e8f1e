package duty

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

type callResult struct {
	call   ranges.Call
	result ranges.Result
}

func (d *Duty) sendCalls(ctx context.Context, now time.Time) {
	registered := d.State.Now().Registered()
	maps.Copy(d.knownServers, registered)
	for _, call := range d.allocator.Calls(registered, d.lease(), now) {
		server, known := d.knownServers[call.Server]
		if !known {
			d.allocator.Done(call, ranges.Result{Failed: true}, now)
			continue
		}
		go d.call(ctx, server, call)
	}
}

// call makes one call to a server. The hold of a grant is measured from SentAt. The timeout
// is measured from there too, because the VM may be suspended or short of CPU time before
// the call begins.
func (d *Duty) call(ctx context.Context, server site.Server, call ranges.Call) {
	timeout := d.Timing.CallTimeout
	if call.Release {
		timeout = d.Timing.ReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout-clock.Since(call.SentAt))
	defer cancel()
	var result ranges.Result
	err := d.limiter.acquire(ctx, call)
	if err == nil {
		defer d.limiter.release(call)
	}
	switch {
	case err != nil:
		err = &ranges.CallError{Outcome: ranges.NotSent, Cause: err}
	case clock.Since(call.SentAt) >= timeout:
		err = &ranges.CallError{Outcome: ranges.NotSent, Cause: context.DeadlineExceeded}
	case call.Release:
		result.Handover, err = d.Granter.Release(ctx, server, call.Grant.Span, call.Grant.Fence)
	default:
		err = d.Granter.Grant(ctx, server, call.Grant)
	}
	var fenced *ranges.FencedError
	result.Fenced = errors.As(err, &fenced)
	result.Failed = err != nil && !result.Fenced
	var callErr *ranges.CallError
	if errors.As(err, &callErr) {
		result.Outcome, result.ArrivedBy = callErr.Outcome, callErr.ArrivedBy
	}
	if err != nil {
		eventCallFailed.Log(d.Logger, "server", server.ID, "release", call.Release, "from", call.Grant.From, "to", call.Grant.To, "fence", call.Grant.Fence, "hold", call.Grant.Hold, "fenced", result.Fenced, "fate", result.Outcome, "arrivedAgo", arrivedAgo(result, clock.Now()), "since", clock.Since(call.SentAt), "cause", err)
	}
	countCall(call, result)
	d.callResults <- callResult{call, result}
}

func (d *Duty) completeCall(r callResult) {
	if d.allocator != nil {
		d.allocator.Done(r.call, r.result, clock.Now())
	}
}

// arrivedAgo returns, for the log, the time since a call without a response is known to
// have reached the server's VM; 0 if unknown.
func arrivedAgo(result ranges.Result, now time.Time) time.Duration {
	if result.ArrivedBy.IsZero() {
		return 0
	}
	return now.Sub(result.ArrivedBy)
}
