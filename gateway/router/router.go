// Package router takes the requests of callers and has them run by servers. What
// it decides stands in the packages site, pool, budget and ranges; here is what
// connects them: one goroutine for each request, attempts, and final answers.
package router

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Terms are the settings of a router that can change while it runs.
type Terms struct {
	CrossZonePenalty time.Duration // that sending to another zone counts as
	Retries          budget.Terms
}

// Router takes requests. It implements http.Handler.
type Router struct {
	zone     string
	headers  upstream.Headers
	state    *view.State
	client   *upstream.Client
	reports  *follow.Reports
	logger   hclog.Logger
	draining atomic.Bool
	ending   atomic.Bool
	closing  context.Context // ends when every request must get its answer
	close    context.CancelFunc
	lines    lineBudget

	mu          sync.Mutex
	timeouts    map[string]*callerTimeouts // by route
	services    map[site.ServiceName]*service
	appliedView *view.View // the view that the services were made for
	options     Terms
}

// service is what the router keeps of one service.
type service struct {
	name    site.ServiceName
	servers []site.Server // of the view that it was made for, guarded by the router's lock

	mu               sync.Mutex // guards all below
	pool             *pool.Pool
	budget           *budget.Budget
	waiters          map[*pool.Waiter]chan waitResult
	nodeCount        int         // that share the servers; 0: not known
	sharesReportedAt time.Time   // when the shares were told
	wakeTimer        *time.Timer // when a pause ends for which requests wait; nil: none does
}

// New returns a router without services.
func New(zone string, headers upstream.Headers, terms Terms, state *view.State, client *upstream.Client, reports *follow.Reports, logger hclog.Logger) *Router {
	closing, closeRouter := context.WithCancel(context.Background())
	return &Router{
		closing:  closing,
		close:    closeRouter,
		zone:     zone,
		headers:  headers,
		options:  terms,
		state:    state,
		client:   client,
		reports:  reports,
		logger:   logger,
		timeouts: map[string]*callerTimeouts{},
		services: map[site.ServiceName]*service{},
	}
}

// SetDraining tells that the node shuts down: every answer ends its connection.
func (r *Router) SetDraining() { r.draining.Store(true) }

// SetTerms replaces the terms.
func (r *Router) SetTerms(terms Terms) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options = terms
	for _, s := range r.services {
		s.mu.Lock()
		s.pool.SetPenalty(terms.CrossZonePenalty)
		s.budget.SetTerms(terms.Retries)
		s.mu.Unlock()
	}
}

// SetEnding tells that the process ends soon: what comes now is refused, since
// there may be no time left to answer it.
func (r *Router) SetEnding() { r.ending.Store(true) }

// Close has every request that is still open answered now: as not run, or as
// perhaps run if it was sent. The process ends in a moment, and would end their
// connections without an answer.
func (r *Router) Close() { r.close() }

// service returns a service with the servers of the present view.
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
			budget:  budget.New(r.options.Retries),
			waiters: map[*pool.Waiter]chan waitResult{},
		}
		s.applyView(v.ServersOf(name), len(v.Members), v.Shares)
		r.services[name] = s
		budgetLeft.Set(string(name), expvar.Func(func() any { return s.budgetLeft() }))
	}
	return s
}

// refreshView has every service take the present view. Requests that wait call it when the view
// changes: on a service with few requests, one that waited saw a new server only when the
// next one came.
func (r *Router) refreshView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyView()
}

// applyView has the services take the present view, and returns it. The lock is held.
func (r *Router) applyView() *view.View {
	v := r.state.Now()
	if v == r.appliedView {
		return v
	}
	r.appliedView = v
	for name, s := range r.services {
		s.applyView(v.ServersOf(name), len(v.Members), v.Shares)
	}
	return v
}

// ShareValidity is for how long shares hold that the lessor does not tell again.
const ShareValidity = 5 * time.Second

// applyView takes what of a new view concerns the service. Most views change the routes
// only.
func (s *service) applyView(servers []site.Server, nodes int, shares view.Shares) {
	isSame := len(servers) == len(s.servers) && (len(servers) == 0 || &servers[0] == &s.servers[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !isSame || nodes != s.nodeCount || len(servers) == 0 {
		s.pool.Update(servers, nodes, now)
	}
	s.servers = servers
	s.nodeCount = nodes
	if shares.ToldAt != s.sharesReportedAt {
		s.sharesReportedAt = shares.ToldAt
		s.pool.SetShares(shares.Of, shares.ToldAt.Add(ShareValidity))
	}
	s.deliver(s.pool.Admit(now))
}

// elapsedWait notes how long a caller of a route waits, as it states, and returns how long it
// has waited already.
func (r *Router) elapsedWait(route string, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeouts := r.timeouts[route]
	if timeouts == nil {
		timeouts = new(callerTimeouts)
		r.timeouts[route] = timeouts
	}
	timeouts.record(timeout)
	return timeouts.elapsed(timeout)
}

// waitResult ends a wait: a place at a server, or a refusal.
type waitResult struct {
	server  site.Server
	refusal *pool.Refusal
}

// deliver hands places to those that wait for them, and refuses those that
// would wait too long. The lock is held.
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

// resetWakeTimer has requests that wait for the end of a pause sent then. The lock is
// held.
func (s *service) resetWakeTimer() {
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
		s.wakeTimer = nil
	}
	now := time.Now()
	if at, waits := s.pool.NextRoom(now); waits {
		s.wakeTimer = time.AfterFunc(at.Sub(now), s.admit)
	}
}

// admit gives places to those that wait for them, if there are any now.
func (s *service) admit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Admit(time.Now()))
}

// requestSlot asks for a place. It returns one, or a channel that receives one, or a
// refusal.
func (s *service) requestSlot(w *pool.Waiter) (site.Server, <-chan waitResult, *pool.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	admission, refusal := s.pool.Ask(w, time.Now())
	if refusal != nil {
		return site.Server{}, nil, refusal
	}
	if admission != nil {
		return admission.Server, nil, nil
	}
	results := make(chan waitResult, 1)
	s.waiters[w] = results
	s.resetWakeTimer()
	return site.Server{}, results, nil
}

// cancelWait ends a wait. A place that came meanwhile is given back.
func (s *service) cancelWait(w *pool.Waiter, results <-chan waitResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Leave(w)
	delete(s.waiters, w)
	select {
	case p := <-results:
		if p.refusal == nil {
			s.deliver(s.pool.Done(p.server.ID, pool.Outcome{Abandoned: true}, time.Now()))
		}
	default:
	}
}

// releaseSlot ends a request's place at a server.
func (s *service) releaseSlot(server site.Server, outcome pool.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Done(server.ID, outcome, time.Now()))
}

func (s *service) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request(s.nodeCount, time.Now())
}

// budgetLeft returns what this node may still send again, in hundredths of a send.
func (s *service) budgetLeft() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(100 * s.budget.Left(time.Now()))
}

// spendRetry takes one send beyond the first out of the budget.
func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(s.nodeCount, time.Now())
}

// unreachable opens a connection to a server that is slow to answer, and
// reports whether that failed. Then the server gets no requests for a while.
func (r *Router) unreachable(ctx context.Context, s *service, server site.Server) bool {
	s.mu.Lock()
	mustProbe, isBlocked := s.pool.Probe(server.ID, time.Now())
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
	s.pool.Probed(server.ID, err == nil, time.Now())
	s.resetWakeTimer()
	return err != nil
}

// tryRequestSlot returns a place if there is one now.
func (s *service) tryRequestSlot(w *pool.Waiter) (site.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.pool.Try(w, time.Now())
	return server, ok
}

// typicalTime returns how long a request usually takes.
func (s *service) typicalTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.TypicalTime()
}
