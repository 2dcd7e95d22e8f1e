package router

import (
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/route"
)

// waitUntilReady makes the request wait while its route has an outage. If ready is
// true, the caller makes an attempt; otherwise the answer is final, or nil to
// decide again.
func (r *requestState) waitUntilReady(d route.Decision, view, overlay <-chan struct{}) (ready bool, answer *exchange.Answer) {
	if r.ctx.Err() != nil {
		return false, r.final(r.contextVerdict())
	}
	now := time.Now()
	if d.Path == route.PathWait {
		key, cause := awaitedKey(d)
		r.m.buffer.Failed(now, key, cause)
		return false, r.wait(key, view, overlay)
	}
	if r.probe != nil {
		return true, nil
	}
	plan, key := r.m.buffer.Plan(now, keysOf(d)...)
	if plan == buffer.Wait {
		return false, r.wait(key, view, overlay)
	}
	if plan == buffer.Probe {
		r.probe = &key
	}
	return true, nil
}

// awaitedKey returns what a decision to wait is waiting for.
func awaitedKey(d route.Decision) (buffer.Key, buffer.Cause) {
	switch {
	case d.Reason == callerapi.ReasonNotLessor:
		return buffer.LessorKey(d), buffer.NoLessor
	case !d.Service.Keyed:
		return noServerKey(d.Service.Name), buffer.Unowned
	}
	return buffer.ShardKey(d), buffer.Unowned
}

// keysOf lists the outages that may affect the route of a decision.
func keysOf(d route.Decision) []buffer.Key {
	if d.Path == route.PathForward {
		return []buffer.Key{buffer.LessorKey(d)}
	}
	if !d.Service.Keyed {
		return []buffer.Key{buffer.ServerKey(d)}
	}
	keys := []buffer.Key{buffer.ServerKey(d), buffer.ShardKey(d)}
	if !d.Service.ChecksFencing {
		keys = append(keys, buffer.LessorKey(d))
	}
	return keys
}

// wait keeps the request in the buffer until it is woken or refused. It returns
// the final answer, or nil to decide again.
func (r *requestState) wait(key buffer.Key, view, overlay <-chan struct{}) *exchange.Answer {
	r.dropProbe()
	waiter, refused := r.m.buffer.Join(time.Now(), key, r.req.Service, r.req.Deadline)
	if waiter == nil {
		return r.unserved(refused)
	}
	if len(r.waited) == 0 {
		metricBuffered.Add(1)
	}
	r.addWaited(key)
	wake, err := waiter.Wait(r.ctx, view, overlay)
	switch {
	case err != nil:
		return r.final(r.contextVerdict())
	case wake.Refused:
		return r.unserved(wake.Refusal)
	case wake.Probe:
		r.probe = &key
	}
	return nil
}

// unserved returns the answer to a request that the buffer refused.
func (r *requestState) unserved(refused buffer.Refusal) *exchange.Answer {
	reason := refused.Reason
	if reason == callerapi.ReasonNoOwner && !r.config.Keyed {
		reason = callerapi.ReasonNoServer
	}
	metricShed.Add(string(reason), 1)
	return r.final(outcome.NotRun(reason).WithRetryAfter(refused.RetryAfter))
}

func (r *requestState) addWaited(key buffer.Key) {
	for _, known := range r.waited {
		if known == key {
			return
		}
	}
	r.waited = append(r.waited, key)
}

// dropProbe passes a pending probe on to another request.
func (r *requestState) dropProbe() {
	if r.probe != nil {
		r.m.buffer.Abandoned(*r.probe)
		r.probe = nil
	}
}
