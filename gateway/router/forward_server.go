package router

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/forward"
)

const (
	// maxForwarded bounds the requests of other nodes that are served at the same time, and
	// maxForwardedBytes the sum of their bodies, which occupy memory at both nodes.
	maxForwarded      = 256
	maxForwardedBytes = 32 << 20
	// forwardedPollInterval is the interval at which the end of forwarded requests is awaited.
	forwardedPollInterval = 20 * time.Millisecond
	// configWait is how long a forwarded request waits for the configuration that its sender has: it
	// reaches all nodes within about this time.
	configWait = 300 * time.Millisecond
)

// Refusals of requests that other nodes forward.
var (
	malformedRefusal   = &refusal{status: http.StatusBadRequest, reason: "malformed forwarded request", isUnavailable: true}
	foreignRefusal     = &refusal{status: http.StatusServiceUnavailable, reason: "sender is not a node of this site", isUnavailable: true}
	otherNodeRefusal   = &refusal{status: http.StatusServiceUnavailable, reason: "request is for another incarnation", isUnavailable: true}
	drainingRefusal    = &refusal{status: http.StatusServiceUnavailable, reason: "node shuts down", isUnavailable: true}
	partitionedRefusal = &refusal{status: http.StatusServiceUnavailable, reason: "node is partitioned from the servers", isUnreachable: true, isPartitioned: true}
	outdatedRefusal    = &refusal{status: http.StatusServiceUnavailable, reason: "configuration is older than the sender's", isUnavailable: true}
	forwardedLimit     = &refusal{status: http.StatusServiceUnavailable, reason: "too many requests of other nodes", isUnavailable: true}
)

// ServeForwarded serves a request that another node of the site forwards. It is not forwarded
// again, and not counted as a caller's request: the other node has counted it.
func (r *Router) ServeForwarded(w http.ResponseWriter, request *http.Request) {
	message, err := forward.DecodeRequest(request.Header.Get(forward.Header))
	x := &exchange{router: r, writer: w, view: r.state.Now(), arrived: time.Now(), forwarded: &message}
	x.request.ID = request.Header.Get(r.headers.RequestID)
	if err != nil {
		x.refuse(malformedRefusal)
		return
	}
	if problem := r.checkForwarded(message, request.RemoteAddr); problem != nil {
		x.refuse(problem)
		return
	}
	defer r.forwarding.release(request.ContentLength)
	if !r.forwarding.reserve(request.ContentLength) {
		x.refuse(forwardedLimit)
		return
	}
	if !r.awaitConfig(request.Context(), message.ConfigVersion) {
		x.refuse(outdatedRefusal)
		return
	}
	x.view = r.state.Now()
	forwardsReceived.Add(1)
	x.sends, x.priorSends, x.tried = message.Sends, message.Sends, message.Tried
	x.attempts = message.Sends
	original, err := originalRequest(request, message)
	if err != nil {
		x.refuse(malformedRefusal)
		return
	}
	defer x.releaseBody()
	if problem := x.prepare(original); problem != nil {
		x.refuse(problem)
		return
	}
	if x.isPartitioned() {
		x.refuse(partitionedRefusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), x.deadline)
	defer cancel()
	stop := context.AfterFunc(r.closing, cancel)
	defer stop()
	x.request.Held = r.client.Hold()
	defer x.request.Held.Release()
	defer x.releaseRoom()
	x.finish(ctx, request.Context(), x.run(ctx))
}

// reserve counts a request of another node with a body of a length, and reports whether the limits
// allow it. release must be called in any case.
func (f *forwarding) reserve(length int64) bool {
	requests, bytes := f.inFlight.Add(1), f.bodyBytes.Add(max(length, 0))
	return requests <= maxForwarded && bytes <= maxForwardedBytes
}

func (f *forwarding) release(length int64) {
	f.inFlight.Add(-1)
	f.bodyBytes.Add(-max(length, 0))
}

// awaitConfig waits until the node has a version of the configuration, at most configWait, and reports
// whether it has.
func (r *Router) awaitConfig(ctx context.Context, version uint64) bool {
	timeout := time.NewTimer(configWait)
	defer timeout.Stop()
	for {
		changed := r.state.Changed()
		if r.hasConfig(version) {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// hasConfig reports whether the node serves requests by a version of the configuration or a later one.
func (r *Router) hasConfig(version uint64) bool {
	now := r.state.Now()
	return now.IsComplete() && uint64(now.Config.Version) >= version
}

// checkForwarded returns why the node does not serve a forwarded request, or nil.
func (r *Router) checkForwarded(message forward.Request, remoteAddress string) *refusal {
	switch {
	case r.draining.Load():
		return drainingRefusal
	case r.forwarding == nil || message.ToBoot != r.forwarding.self.Boot:
		return otherNodeRefusal
	case !r.isNode(message.Node, message.Boot, remoteAddress):
		return foreignRefusal
	}
	return nil
}

// isNode reports whether a request comes from the node that it names: from that node's address,
// with its current boot ID.
func (r *Router) isNode(node, boot, remoteAddress string) bool {
	remote, _, err := net.SplitHostPort(remoteAddress)
	if err != nil {
		return false
	}
	for _, m := range r.state.Now().Members {
		if m.Node != node || m.Boot != boot {
			continue
		}
		host, _, err := net.SplitHostPort(m.Address)
		return err == nil && host == remote
	}
	return false
}

// originalRequest returns the request as the caller sent it to the other node.
func originalRequest(request *http.Request, message forward.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(message.Target)
	if err != nil {
		return nil, err
	}
	original := request.Clone(request.Context())
	original.Method = message.Method
	original.Host = message.Host
	original.URL = target
	original.RequestURI = message.Target
	original.RemoteAddr = message.Caller
	original.Header.Del(forward.Header)
	return original, nil
}

// AwaitForwarded waits until no request of another node is being served, or until ctx ends.
func (r *Router) AwaitForwarded(ctx context.Context) {
	for r.forwarding != nil && r.forwarding.inFlight.Load() > 0 {
		if !clock.Wait(ctx, forwardedPollInterval) {
			return
		}
	}
}

// markForwarded adds what the other node needs to know to the header of an answer.
func (x *exchange) markForwarded(header http.Header, message forward.Answer) {
	if x.forwarded == nil {
		return
	}
	message.Sends, message.Tried = x.sends, x.reached()
	header.Set(forward.Header, forward.Encode(message))
}

// retryAfterOf returns the time after which a refused caller may return; 0: not stated.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
