// Package router forwards the requests of callers to backend servers. The decisions are
// made by the packages site, pool, budget and ranges; this package connects them: it runs
// one goroutine for each request, makes attempts and returns final answers.
package router

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/transfer"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Options are the settings of a router. All but Node and StartedAt can change at run time.
type Options struct {
	CrossZonePenalty time.Duration // added to the expected time at servers of other zones
	Retries          budget.Terms
	Region           string            // of this node
	Regions          map[string]string // of the zones
	Node             string            // name of this node
	StartedAt        time.Time         // of the process; zero: long ago
}

// Router forwards requests to backend servers. It implements http.Handler.
type Router struct {
	zone        string
	node        string
	headers     upstream.Headers
	state       *view.State
	client      *upstream.Client
	reports     *follow.Reports
	logger      hclog.Logger
	draining    atomic.Bool
	terminating atomic.Bool
	closing     context.Context // done when every open request must be answered
	close       context.CancelFunc
	lines       lineBudget
	crashes     *crashes
	quarantined *ownQuarantine
	forwarding  *forwarding // nil: requests are not forwarded

	largeAnswers *largeAnswers
	bodies       *bodies.Memory // of requests

	mu          sync.Mutex
	timeouts    map[string]*callerTimeouts // by route
	services    map[site.ServiceName]*service
	appliedView *view.View // the view that the services were made for
	options     Options
}

// service is the router's state of one service.
type service struct {
	name    site.ServiceName
	servers []site.Server // of the applied view; guarded by Router.mu

	mu                 sync.Mutex // guards the fields below
	pool               *pool.Pool
	budget             *budget.Budget
	waiters            map[*pool.Waiter]chan waitResult
	nodeCount          int       // that share the servers; 0: unknown
	nodesHash          uint64    // of these nodes
	coldRate           float64   // see pool.RateLimits
	limitsSerial       uint64    // of the limits that servers name
	sharesReportedAt   time.Time // when the shares were received
	guidanceReceivedAt time.Time
	isGuided           bool        // whether the speeds of the guidance were last used
	wakeTimer          *time.Timer // fires when waiting requests may next be admitted; nil: no such time
}

// New returns a router without services.
func New(zone string, headers upstream.Headers, options Options, state *view.State, client *upstream.Client, reports *follow.Reports, logger hclog.Logger) *Router {
	closing, closeRouter := context.WithCancel(context.Background())
	quarantined := newOwnQuarantine()
	onCrash := func(server site.ServerID, request crashedRequest) {
		reports.NoteCrash(server, request.fingerprint, request.caller)
		quarantined.noteCrash(server, request, time.Now())
	}
	r := &Router{
		quarantined: quarantined,
		node:        options.Node,
		closing:     closing,
		close:       closeRouter,
		zone:        zone,
		headers:     headers,
		options:     options,
		state:       state,
		client:      client,
		reports:     reports,
		logger:      logger,
		timeouts:    map[string]*callerTimeouts{},
		services:    map[site.ServiceName]*service{},

		largeAnswers: newLargeAnswers(transfer.Limits{}),
		bodies:       bodies.NewMemory(defaultBodyLimits, nil),
	}
	r.crashes = newCrashes(state, client, logger, onCrash, r.isReachedByOthers)
	return r
}

// BoundLargeAnswers sets the bounds of large answers. It must be called before the router is used.
func (r *Router) BoundLargeAnswers(limits transfer.Limits) { r.largeAnswers = newLargeAnswers(limits) }

// BoundBodies sets the memory for the bodies of requests. It must be called before the router is used.
func (r *Router) BoundBodies(memory *bodies.Memory) { r.bodies = memory }

// Bodies returns the memory that bodies of requests hold.
func (r *Router) Bodies() bodies.State { return r.bodies.State() }

// SetDraining marks the node as shutting down: every answer closes its connection.
func (r *Router) SetDraining() { r.draining.Store(true) }

// SetOptions replaces the settings.
func (r *Router) SetOptions(options Options) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options = options
	for _, s := range r.services {
		s.mu.Lock()
		s.pool.SetPenalty(options.CrossZonePenalty)
		s.budget.SetTerms(options.Retries, time.Now())
		s.mu.Unlock()
	}
}

// SetTerminating makes the router refuse new requests, because the process terminates
// soon and there may be no time left to answer them.
func (r *Router) SetTerminating() { r.terminating.Store(true) }

// Close makes the router answer every open request now: as not run, or as possibly run if
// it was sent. The process is about to terminate, which would close their connections
// without an answer.
func (r *Router) Close() { r.close() }

// service returns a service that has the current view applied.
func (r *Router) service(name site.ServiceName) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.applyView()
	s := r.services[name]
	if s == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		s = &service{
			name:    name,
			pool:    pool.New(r.zone, r.options.CrossZonePenalty, random),
			budget:  budget.New(r.options.Retries, r.options.StartedAt),
			waiters: map[*pool.Waiter]chan waitResult{},
		}
		s.applyView(v, r.rateLimitsOf(name, v), r.logger)
		r.services[name] = s
		s.publishSpeeds()
		budgetLeft.Set(string(name), expvar.Func(func() any { return s.budgetLeft() }))
	}
	return s
}

// refreshView applies the current view to every service. Waiting requests call it when the view
// changes: otherwise, on a service with few requests, a waiting request would see a new server
// only when the next request arrived.
func (r *Router) refreshView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyView()
}

// applyView applies the current view to all services and returns it. r.mu must be held.
func (r *Router) applyView() *view.View {
	v := r.state.Now()
	if v == r.appliedView {
		return v
	}
	r.appliedView = v
	for name, s := range r.services {
		s.applyView(v, r.rateLimitsOf(name, v), r.logger)
	}
	return v
}

// ShareValidity is how long shares remain valid if the lessor does not report them again.
const ShareValidity = 5 * time.Second

// applyView applies the servers, the nodes and the shares of a new view to the service, and the
// limits on requests to cold servers. Most new views differ in the routes only.
func (s *service) applyView(v *view.View, limits pool.RateLimits, logger hclog.Logger) {
	servers, nodes, shares := v.ServersOf(s.name), len(v.Members), v.Shares
	isSame := len(servers) == len(s.servers) && (len(servers) == 0 || &servers[0] == &s.servers[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	areNodesSame := v.MembersHash() == s.nodesHash && nodes == s.nodeCount
	areLimitsSame := limits.ColdRate == s.coldRate && v.Limits.Serial == s.limitsSerial
	s.pool.SetRateLimits(limits)
	switch {
	case !isSame || !areNodesSame || len(servers) == 0:
		s.pool.Update(servers, nodes, now)
	case !areLimitsSame:
		s.pool.ApplyRateLimits(now)
	}
	s.servers = servers
	s.nodeCount, s.nodesHash = nodes, v.MembersHash()
	s.coldRate, s.limitsSerial = limits.ColdRate, v.Limits.Serial
	if shares.ReceivedAt != s.sharesReportedAt {
		s.sharesReportedAt = shares.ReceivedAt
		s.pool.SetShares(shares.ByServer, shares.ReceivedAt.Add(ShareValidity))
	}
	if v.Guidance.ReceivedAt != s.guidanceReceivedAt {
		s.guidanceReceivedAt = v.Guidance.ReceivedAt
		s.pool.SetGuidance(s.name, v.Guidance.Guidance, v.Guidance.ReceivedAt)
	}
	s.logGuidance(v, logger, now)
	s.deliver(s.pool.Admit(now))
}

// waitResult is the result of a wait: a slot at a server, or a refusal.
type waitResult struct {
	server  site.Server
	refusal *pool.Refusal
}

// deliver sends admitted waiters their slots and refuses those that would wait too
// long. s.mu must be held.
func (s *service) deliver(admissions []pool.Admission) {
	for _, a := range admissions {
		s.waiters[a.Waiter] <- waitResult{server: a.Server}
		delete(s.waiters, a.Waiter)
	}
	for _, e := range s.pool.Evict(time.Now()) {
		s.waiters[e.Waiter] <- waitResult{refusal: &e.Refusal}
		delete(s.waiters, e.Waiter)
	}
	s.resetWakeTimer()
}

// resetWakeTimer schedules admit for the next time when the pause of a server that requests
// wait for ends or an unreachable server is tried again. s.mu must be held.
func (s *service) resetWakeTimer() {
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
		s.wakeTimer = nil
	}
	now := time.Now()
	if at, waits := s.pool.NextAdmitTime(now); waits {
		s.wakeTimer = time.AfterFunc(at.Sub(now), s.admit)
	}
}

// admit gives free slots to waiting requests.
func (s *service) admit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Admit(time.Now()))
}

// requestSlot requests a slot. It returns a server, or a channel that receives the result
// of the wait, or a refusal.
func (s *service) requestSlot(w *pool.Waiter) (site.Server, <-chan waitResult, *pool.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	admission, refusal := s.pool.Submit(w, time.Now())
	if refusal != nil {
		return site.Server{}, nil, refusal
	}
	if admission != nil {
		return admission.Server, nil, nil
	}
	results := make(chan waitResult, 1)
	s.waiters[w] = results
	if s.pool.IsMixed(time.Now()) { // a load check for this request may have found a slot for another one
		s.deliver(s.pool.Admit(time.Now()))
	} else {
		s.resetWakeTimer()
	}
	return site.Server{}, results, nil
}

// cancelWait ends a wait. A slot that was assigned in the meantime is released.
func (s *service) cancelWait(w *pool.Waiter, results <-chan waitResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Remove(w)
	delete(s.waiters, w)
	select {
	case p := <-results:
		if p.refusal == nil {
			s.deliver(s.pool.Done(p.server.ID, pool.Outcome{Abandoned: true}, time.Now()))
		}
	default:
	}
}

// releaseSlot releases a request's slot at a server and reports the outcome to the pool.
func (s *service) releaseSlot(server site.Server, outcome pool.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Done(server.ID, outcome, time.Now()))
}

// refuseRetry returns why another attempt of a request must wait for the rest of all servers, or nil.
func (s *service) refuseRetry(w *pool.Waiter) *pool.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.RefuseRetry(w, time.Now())
}

func (s *service) countRequest() {
	budgetRequests.Add(string(s.name), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request(s.nodeCount, time.Now())
}

// budgetLeft returns the retry budget that remains to this node, in hundredths of a send.
func (s *service) budgetLeft() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(100 * s.budget.Left(time.Now()))
}

// spendRetry takes one send beyond the first from the retry budget and reports whether it
// was available.
func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isLeft := s.budget.Spend(s.nodeCount, time.Now())
	if isLeft {
		budgetSends.Add(string(s.name), 1)
	}
	return isLeft
}

// postponeRetry records that a send that was taken from the retry budget at a time is made
// only now.
func (s *service) postponeRetry(takenAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Postpone(takenAt, time.Now())
}

// unreachable opens a connection to a server that is slow to answer and reports whether
// that failed. The pool sends no requests to an unreachable server for some time.
func (r *Router) unreachable(ctx context.Context, s *service, server site.Server) bool {
	s.mu.Lock()
	mustProbe, isBlocked := s.pool.ShouldProbe(server.ID, time.Now())
	s.mu.Unlock()
	if !mustProbe {
		return isBlocked
	}
	err := r.client.Probe(ctx, server)
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordProbe(server.ID, err == nil, time.Now())
	s.resetWakeTimer()
	return err != nil
}

// tryRequestSlot returns a slot if one is free, without waiting.
func (s *service) tryRequestSlot(w *pool.Waiter) (site.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.pool.TryAdmit(w, time.Now())
	return server, ok
}

// hasUsableServer reports whether a server of the service is not leaving.
func (s *service) hasUsableServer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Size() > 0
}

// allLeave reports whether the service has servers and all of them leave.
func (s *service) allLeave() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.AllLeave()
}

// meanTime returns the mean time in which requests of the exchange's route are answered.
func (x *exchange) meanTime() time.Duration {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.MeanTimeOf(x.route.Name, time.Now())
}
