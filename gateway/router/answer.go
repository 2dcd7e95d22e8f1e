package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

// notRunStatuses are the statuses which state that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// finish sends the final response to the caller and logs the request.
func (x *exchange) finish(ctx, caller context.Context, r result) {
	switch {
	case r.callerDisconnected || caller.Err() != nil:
		x.log("caller left", 0, "")
		// Returning would send an empty success that no server gave to a caller
		// that has only closed its half of the connection.
		panic(http.ErrAbortHandler)
	case r.answer != nil:
		x.answer(r.answer)
	case r.refusal != nil:
		x.refuse(x.withPromise(ctx, r.refusal))
	default:
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		x.write(status, nil, []byte(r.failure+"\n"), forward.Answer{Outcome: forward.Unknown, Reason: r.failure})
		x.log("may have run", status, r.failure)
	}
}

// answer forwards a server's answer. A status which states that an at-most-once
// request has not run is forwarded only if the server marked the answer as not run.
func (x *exchange) answer(a *upstream.Answer) {
	if x.route.Kind == site.AtMostOnce && notRunStatuses[a.Status] && !a.NotRun {
		x.write(http.StatusBadGateway, nil, []byte("the server's answer does not tell whether the request has run\n"), forward.Answer{Outcome: forward.Unknown})
		x.log("may have run", http.StatusBadGateway, "status "+strconv.Itoa(a.Status)+" of the server")
		return
	}
	x.noteAnswerSize(a)
	x.write(a.Status, upstream.ForwardedHeader(a.Header), a.Body, forward.Answer{Outcome: forward.Answered, Server: a.Server})
	if x.isStalled {
		x.log("caller left", a.Status, stalledReason)
		return
	}
	x.log("answered", a.Status, "")
}

// refuse responds to a request that has not run.
func (x *exchange) refuse(r *refusal) {
	header := http.Header{}
	x.endBody(header, r)
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	x.write(r.status, header, []byte(r.reason+"\n"), x.refusalMessage(r))
	x.log("refused", r.status, r.reason)
}

// refusalMessage returns what the node that forwarded the request is told of a refusal.
func (x *exchange) refusalMessage(r *refusal) forward.Answer {
	message := forward.Answer{
		Outcome:     forward.NotRun,
		Reason:      r.reason,
		Unreachable: r.isUnreachable,
		Partitioned: r.isPartitioned,
		Overloaded:  r.isOverloaded,
		Unavailable: r.isUnavailable,
	}
	if r.isPartitioned {
		message.Alternative = x.router.forwarding.peers.Alternative(x.service.name, time.Now())
	}
	return message
}

// write sends a response. A node that forwarded the request also gets the message.
func (x *exchange) write(status int, header http.Header, body []byte, message forward.Answer) {
	target := x.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	x.markForwarded(target, message)
	if len(target["Content-Type"]) == 0 {
		target["Content-Type"] = nil // keeps net/http from sniffing one
	}
	if x.request.ID != "" && target.Get(x.router.headers.RequestID) == "" {
		target.Set(x.router.headers.RequestID, x.request.ID)
	}
	target.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	if err := x.writeBody(body); err != nil {
		x.trace.note("answer not written: " + err.Error())
	}
}

// elapsed returns the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return time.Since(x.arrived) }
