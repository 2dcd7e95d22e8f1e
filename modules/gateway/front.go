package gateway

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/driver"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/router"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	"github.com/burdockspindle/burdockspindle/kernel"
)

var (
	eventListening    = events.Define(2300, hclog.Info, "listening")
	eventServeFailed  = events.Define(2301, hclog.Error, "listener failed")
	eventReady        = events.Define(2302, hclog.Info, "node is ready for callers")
	eventFrontDrained = events.Define(2303, hclog.Info, "callers' connections are closed")
)

// Timing of a shutdown and bounds of listeners.
const (
	// exitReserve is left of the grace time for the end of the process.
	exitReserve = 400 * time.Millisecond
	// finalResponseReserve is left of that for requests that get their final answer only
	// because the process ends.
	finalResponseReserve = 250 * time.Millisecond
	// lateRequestWindow is how long after the listener has closed a node still takes
	// requests on connections that were opened before. What comes later might not
	// be answered within the grace time, and would be cut off with the process.
	lateRequestWindow = 500 * time.Millisecond
	// headerTimeout and idleTimeout end connections that send a request too slowly
	// or nothing, while no configuration says otherwise.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	readyPath      = "/-/readyz"
	metricsPath    = "/debug/vars"
	// roleFront is the listener for callers.
	roleFront = "front"
)

// Front is the module gateway.front: the listeners of a node.
type Front struct {
	live   *config.Live
	state  *view.State
	feed   *follow.Feed
	router *router.Router
	logger hclog.Logger

	draining   atomic.Bool
	wasReady   atomic.Bool
	isIsolated atomic.Bool // the node's zone is
	cancel     context.CancelFunc
	drainedAt  time.Time
	servers    []*http.Server
	listener   net.Listener // for callers
	callers    *callerConns
}

// ModuleInfo implements kernel.Module.
func (*Front) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "gateway.front", New: func() kernel.Module { return new(Front) }}
}

// Provision implements kernel.Provisioner.
func (f *Front) Provision(ctx *kernel.Context) error {
	var err error
	if f.live, err = kernel.Use[*config.Live](ctx); err != nil {
		return err
	}
	platform, err := kernel.Use[*driver.Driver](ctx)
	if err != nil {
		return err
	}
	if f.state, err = kernel.Use[*view.State](ctx); err != nil {
		return err
	}
	if f.feed, err = kernel.Use[*follow.Feed](ctx); err != nil {
		return err
	}
	client, err := kernel.Use[*upstream.Client](ctx)
	if err != nil {
		return err
	}
	reports, err := kernel.Use[*follow.Reports](ctx)
	if err != nil {
		return err
	}
	f.logger = ctx.Logger
	f.router = router.New(f.live.Settings().Zone, platform.Headers, routerTerms(f.live.Settings()), f.state, client, reports, ctx.Logger)
	f.live.Watch(func(s *config.Settings) { f.router.SetTerms(routerTerms(s)) })
	return nil
}

// routerTerms returns what the settings ask of the router.
func routerTerms(s *config.Settings) router.Terms {
	return router.Terms{
		CrossZonePenalty: s.Place.CrossZonePenalty,
		Retries:          budget.Terms{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window},
	}
}

// Start implements kernel.Starter.
func (f *Front) Start(context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, f.serveReady)
	peers := http.NewServeMux()
	peers.Handle(f.feed.Handler())
	listen := f.live.Settings().Listen
	if err := f.listen("ready", listen.Ready, ready); err != nil {
		return err
	}
	if err := f.listen("peer", listen.Peer, peers); err != nil {
		return err
	}
	if listen.Metrics != "" {
		vars := http.NewServeMux()
		vars.Handle("GET "+metricsPath, expvar.Handler())
		if err := f.listen("metrics", listen.Metrics, vars); err != nil {
			return err
		}
	}
	if err := f.listen(roleFront, listen.Front, f.router); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.watchIsolation(ctx)
	return nil
}

// callerTimeouts returns the configuration's limits of callers' connections.
func (f *Front) callerTimeouts() callerTimeouts {
	limit := func(field func(site.Limits) time.Duration, fallback time.Duration) func() time.Duration {
		return func() time.Duration {
			if known := f.state.Now().Config; known != nil && field(known.Limits) > 0 {
				return field(known.Limits)
			}
			return fallback
		}
	}
	return callerTimeouts{
		head: limit(func(l site.Limits) time.Duration { return l.HeaderTimeout }, headerTimeout),
		idle: limit(func(l site.Limits) time.Duration { return l.IdleTimeout }, idleTimeout),
	}
}

func (f *Front) listen(role, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes}
	if role == roleFront {
		f.callers = newCallerConns(f.callerTimeouts())
		server = f.callers.server(handler)
		listener = &callerListener{Listener: listener, owner: f.callers}
		f.listener = listener
	} else {
		server.ReadHeaderTimeout = headerTimeout
		server.IdleTimeout = idleTimeout
	}
	f.servers = append(f.servers, server)
	eventListening.Log(f.logger, "role", role, "address", address)
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			eventServeFailed.Log(f.logger, "role", role, "cause", err)
		}
	}()
	return nil
}

// serveReady answers the balancer: the node takes callers once it can serve.
func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.isIsolated.Load() || !f.state.Now().Complete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !f.wasReady.Swap(true) {
		eventReady.Log(f.logger)
	}
	w.WriteHeader(http.StatusOK)
}

// Drain implements kernel.Drainer: the balancer is told, and callers' open
// connections end with their next answer.
func (f *Front) Drain(context.Context) error {
	f.drainedAt = time.Now()
	f.draining.Store(true)
	f.router.SetDraining()
	return nil
}

// Stop implements kernel.Stopper: it goes on serving until the balancer has
// surely noticed, then finishes what runs within the grace time.
func (f *Front) Stop(ctx context.Context) error {
	timing := f.live.Settings().Timing
	end := f.drainedAt.Add(timing.Grace - exitReserve)
	refusing := time.AfterFunc(time.Until(f.drainedAt.Add(timing.Notice+lateRequestWindow)), f.router.SetEnding)
	defer refusing.Stop()
	closing := time.AfterFunc(time.Until(end.Add(-finalResponseReserve)), f.router.Close)
	defer closing.Stop()
	clock.Wait(ctx, timing.Notice-time.Since(f.drainedAt))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	f.cancel()
	_ = f.listener.Close() // only connections that are open are served from here on
	err := f.callers.drain(ctx)
	eventFrontDrained.Log(f.logger, "error", err)
	for _, server := range f.servers {
		_ = server.Close() // the process ends
	}
	return err
}
