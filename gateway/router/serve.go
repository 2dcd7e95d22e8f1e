package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/transfer"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// defaultCallerTimeout is the assumed timeout of a caller that states none.
	defaultCallerTimeout = 10 * time.Second
	// notReadyRetryAfter is the Retry-After of a node that has no configuration yet:
	// nodes receive it within about half a second.
	notReadyRetryAfter = 400 * time.Millisecond
	// shutdownRetryAfter is the Retry-After of a node that is terminating; another node
	// serves the retry.
	shutdownRetryAfter = 100 * time.Millisecond
)

// exchange is the state of one request while the node handles it.
type exchange struct {
	router  *Router
	writer  http.ResponseWriter
	caller  Caller // nil: the connection cannot be checked
	view    *view.View
	route   *site.Route
	service *service
	keyed   bool
	key     ranges.Key
	request upstream.Request
	// path is the request's path without the query, and remoteAddress the caller's address.
	path, remoteAddress string
	fingerprinted       *quarantine.Fingerprint // nil: not computed yet
	isTrial             bool                    // a quarantined request that this node sends once

	arrived  time.Time
	deadline time.Time // from the timeouts of the caller and the route
	target   time.Time // latency objective
	// waited is how long the caller has waited since its first attempt; 0: this is the first, or it is not known.
	waited time.Duration
	// returned is the same on a mixed site, and 0 for a caller whose timeout is one that many callers state.
	returned time.Duration
	attempts int // all, including those that reached no server
	sends    int // attempts that may have reached a server
	// retryTakenAt is when the next send was taken from the retry budget; zero: it was not.
	retryTakenAt time.Time
	mayHaveRun   bool
	isAdmitted   bool // by the share of its priority, on a mixed service
	tried        []site.ServerID
	unreached    []site.ServerID // those of tried to which no connection was opened

	// forwarded is what the node that forwarded the request states; nil: a caller's request.
	forwarded  *forward.Request
	priorSends int // sends of that node
	// forwards counts how often this node forwarded the request, forwardedTo are the
	// incarnations of the nodes, and peerSends their sends.
	forwards    int
	forwardedTo []string
	peerSends   int
	// partitionedPeers counts the forwards that were refused by a node which is partitioned too.
	partitionedPeers int
	peerRefusal      *refusal      // of the latest other node; nil: none, or one that says nothing of the request
	peerFailure      string        // why the latest forwarded attempt may have run without an answer
	countedServer    site.ServerID // the server to whose counter the request was forwarded
	// limitedServer is the server whose counter may send the request, by the latest refusal of a slot.
	limitedServer site.ServerID
	// isUnreachable reports that the latest refusal of a slot was for lack of a connection.
	isUnreachable bool

	body         *bodies.Account // what the request's body holds; nil: it has none, or is not read yet
	isBodyUnread bool            // the body has not been read to its end

	room      *transfer.Request // for a large answer; nil: the route has none
	isStalled bool              // the caller has stopped reading its answer

	lastAnswer *upstream.Answer // a server's error, returned if no better answer arrives
	trace      trace
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	x := &exchange{router: r, writer: w, caller: callerOf(request.Context()), view: r.state.Now(), arrived: time.Now()}
	x.request.ID = request.Header.Get(r.headers.RequestID)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.releaseBody()
	if problem := x.prepare(request); problem != nil {
		x.refuse(problem)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), x.deadline)
	defer cancel()
	stop := context.AfterFunc(r.closing, cancel)
	defer stop()
	x.request.Held = r.client.Hold()
	defer x.request.Held.Release()
	defer x.releaseRoom()
	x.service.countRequest()
	x.finish(ctx, request.Context(), x.run(ctx))
}

// refusal is the node's own response to a request that has not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0: a retry does not help
	// closes reports that the connection cannot be used on, because the body has not been read.
	closes bool
	// isScheduled reports that on a mixed site the schedule of returns decides the delay, once the refusal is the result.
	isScheduled bool
	// isUnreachable reports that the node could not connect to a server that may run the
	// request, isOverloaded that it would wait too long, and isUnavailable that the node serves
	// no request of other nodes.
	isUnreachable, isOverloaded, isUnavailable bool
	// isPartitioned reports that the node can connect to no server of the service.
	isPartitioned bool
	// countedServer is a server whose requests another node counts, if only such servers are left.
	countedServer site.ServerID
}

// prepare finds the route and reads the request.
func (x *exchange) prepare(request *http.Request) *refusal {
	x.isBodyUnread = request.Body != nil && request.Body != http.NoBody
	if x.router.terminating.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "node shuts down", retryAfter: shutdownRetryAfter}
	}
	if !x.view.IsComplete() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: notReadyRetryAfter}
	}
	if most := x.view.Config.Limits.HeaderBytes; most > 0 && x.forwarded == nil && headerBytes(request) > most {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too long"}
	}
	x.route = x.view.Config.Match(request.Host, request.URL.EscapedPath())
	if x.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	name := x.pickService()
	x.service = x.router.service(name)
	x.keyed = x.view.Config.Services[name].Keyed
	if problem := x.readKey(request); problem != nil {
		return problem
	}
	x.setDeadlines(request)
	x.path, x.remoteAddress = request.URL.EscapedPath(), request.RemoteAddr
	x.request.Method = request.Method
	x.request.Target = request.RequestURI
	x.request.Host = request.Host
	x.request.Header = request.Header
	return x.readBody(request)
}

// pickService chooses a service by the weights of the route. A forwarded request keeps the service
// that the other node chose, unless a newer configuration has moved the route.
func (x *exchange) pickService() site.ServiceName {
	if x.forwarded != nil {
		for _, target := range x.route.Targets {
			if target.Service == x.forwarded.Service && (target.Weight > 0 || len(x.route.Targets) == 1) {
				return target.Service
			}
		}
	}
	return x.route.Pick(newRandom())
}

// headerBytes returns the length of a request's head, not counting separators and line ends.
func headerBytes(request *http.Request) int64 {
	length := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			length += len(name) + len(value)
		}
	}
	return int64(length)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (x *exchange) readKey(request *http.Request) *refusal {
	if !x.keyed {
		return nil
	}
	text := request.Header.Get(x.router.headers.Key)
	key, err := strconv.Atoi(text)
	if err != nil || key < 0 || ranges.Key(key) > ranges.LastKey {
		return &refusal{status: http.StatusBadRequest, reason: "key missing or not a number from 0 to 65535"}
	}
	x.key = ranges.Key(key)
	if x.forwarded == nil { // otherwise the other node has counted it
		x.router.reports.CountKey(x.service.name, x.key)
	}
	return nil
}

func (x *exchange) setDeadlines(request *http.Request) {
	allowance := defaultCallerTimeout
	stated := defaultCallerTimeout
	text := request.Header.Get(x.router.headers.Timeout)
	if milliseconds, err := strconv.ParseInt(text, 10, 64); err == nil && milliseconds > 0 {
		stated = time.Duration(milliseconds) * time.Millisecond
		allowance = stated
	}
	if x.route.Timeout > 0 {
		allowance = min(allowance, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(allowance)
	if x.forwarded != nil {
		x.target = x.arrived.Add(time.Duration(x.forwarded.ObjectiveMs) * time.Millisecond)
		x.returned = x.forwardedWait()
		x.noteReturned()
		return
	}
	x.waited = x.router.elapsedWait(x.route.Name, stated)
	x.target = x.arrived.Add(x.route.Target - x.waited)
	if x.waited > 0 && x.view.Guidance.IsMixedAt(x.arrived) && !x.router.isCommonTimeout(x.route.Name, stated) {
		x.returned = x.waited
		x.noteReturned()
	}
	x.router.reports.CountClass(x.service.name, x.route.Priority, x.waited > 0)
}
