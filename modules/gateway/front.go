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
	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/driver"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/prober"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
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

// Timing of a shutdown and limits of listeners.
const (
	// exitReserve is the part of the grace time kept for the exit of the process.
	exitReserve = 400 * time.Millisecond
	// finalResponseReserve is the part of the remaining grace time kept for requests that get
	// their final response only because the process exits.
	finalResponseReserve = 250 * time.Millisecond
	// lateRequestWindow is the time after the listener has closed in which requests on open
	// connections are still accepted. Later requests might not be answered within the grace
	// time and would be aborted by the exit of the process.
	lateRequestWindow = 500 * time.Millisecond
	// headerTimeout and idleTimeout end connections that send a request too slowly or none,
	// unless the configuration sets other timeouts.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeaderBytes is the maximum size of the head of a request.
	maxHeaderBytes = 64 << 10
	// maxPeerHeaderBytes also has room for the encoded target of a forwarded request.
	maxPeerHeaderBytes = 3 * maxHeaderBytes
	readyPath          = "/-/readyz"
	metricsPath        = "/debug/vars"
	// roleFront is the role of the listener for callers.
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
	isIsolated atomic.Bool // the node's zone is isolated
	cancel     context.CancelFunc
	drainedAt  time.Time
	servers    []*http.Server
	listener   net.Listener // for callers
	callers    *callerConns
	client     *upstream.Client // for requests to servers
	nodeClient *upstream.Client // for requests that are forwarded to other nodes
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
	if f.client, err = kernel.Use[*upstream.Client](ctx); err != nil {
		return err
	}
	reports, err := kernel.Use[*follow.Reports](ctx)
	if err != nil {
		return err
	}
	f.logger = ctx.Logger
	self := router.Options{Node: string(ctx.Identity.Node), StartedAt: time.Now()}
	f.router = router.New(f.live.Settings().Zone, platform.Headers, routerOptions(f.live.Settings(), self), f.state, f.client, reports, ctx.Logger)
	reachable, err := kernel.Use[*prober.Prober](ctx)
	if err != nil {
		return err
	}
	f.nodeClient = upstream.NewNodeClient(platform.Headers, f.live.Settings().Zone)
	memory := upstream.NewAnswerMemory(answerMemory(f.live.Settings()))
	f.client.SetAnswerMemory(memory)
	f.nodeClient.SetAnswerMemory(memory)
	f.router.EnableForwarding(f.feed.Self, f.nodeClient, reachable.IsPartitioned)
	reachable.OnReconnected(f.router.UnblockServers)
	f.callers = newCallerConns(f.callerTimeouts(), callerLimitsOf(f.live.Settings()))
	f.callers.onEvict = f.logEvictions()
	others := func() int64 { return memory.Held() + f.connMemory() }
	f.router.BoundBodies(bodies.NewMemory(bodyLimits(f.live.Settings()), others))
	f.router.BoundLargeAnswers(largeAnswerLimits(f.live.Settings()))
	f.live.Watch(func(s *config.Settings) { f.router.SetOptions(routerOptions(s, self)) })
	return nil
}

// Dump implements kernel.Dumper.
func (f *Front) Dump() any {
	rests := map[site.ServerName]string{}
	for server, left := range f.client.Rests() {
		rests[server] = left.String()
	}
	return struct {
		// RestingServers are those that have asked this node for a rest, and how much longer it lasts.
		RestingServers map[site.ServerName]string `json:"restingServers"`
		// Speeds are the relative service times of servers that this node uses.
		Speeds       map[site.ServiceName]pool.Speeds `json:"speeds"`
		LargeAnswers router.LargeAnswers              `json:"largeAnswers"`
		// RequestBodies is the memory that bodies of requests hold.
		RequestBodies bodies.State `json:"requestBodies"`
		Callers       callerState  `json:"callers"`
		// Returns are the schedules of returning callers, by service and priority. Only mixed sites have them.
		Returns map[site.ServiceName]map[int]returns.State `json:"returns,omitempty"`
	}{rests, f.router.Speeds(), f.router.LargeAnswers(), f.router.Bodies(), f.callers.state(), f.router.Returns()}
}

// routerOptions returns the options of the router of a process with the router's part of
// the settings.
func routerOptions(s *config.Settings, self router.Options) router.Options {
	self.CrossZonePenalty = s.Placement.CrossZonePenalty
	self.Region, self.Regions = s.Region, s.Regions
	self.Retries = budget.Terms{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window}
	return self
}

// Start implements kernel.Starter.
func (f *Front) Start(context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, f.serveReady)
	peers := http.NewServeMux()
	peers.Handle(f.feed.Handler())
	peers.HandleFunc("POST "+forward.Path, f.router.ServeForwarded)
	peers.HandleFunc("POST "+forward.ProbePath, f.router.ServeProbe)
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
	go f.nodeClient.Run(ctx)
	return nil
}

// callerTimeouts returns the timeouts of callers' connections: those of the current
// configuration, or the defaults.
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
		server = f.callers.server(handler)
		listener = &callerListener{Listener: listener, owner: f.callers}
		f.listener = listener
	} else {
		server.MaxHeaderBytes = maxPeerHeaderBytes
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

// serveReady answers the balancer's readiness check: the node is ready when its view is
// complete and it is neither draining nor isolated.
func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.isIsolated.Load() || !f.state.Now().IsComplete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !f.wasReady.Swap(true) {
		eventReady.Log(f.logger)
	}
	w.WriteHeader(http.StatusOK)
}

// Drain implements kernel.Drainer: the readiness check fails from now on, and callers' open
// connections end with their next response.
func (f *Front) Drain(context.Context) error {
	f.drainedAt = time.Now()
	f.draining.Store(true)
	f.router.SetDraining()
	return nil
}

// Stop implements kernel.Stopper: the node continues to serve until the balancer has noticed
// the failed readiness check, then finishes the requests in flight within the grace time.
func (f *Front) Stop(ctx context.Context) error {
	timing := f.live.Settings().Timing
	end := f.drainedAt.Add(timing.Grace - exitReserve)
	refusing := time.AfterFunc(time.Until(f.drainedAt.Add(timing.Notice+lateRequestWindow)), f.router.SetTerminating)
	defer refusing.Stop()
	closing := time.AfterFunc(time.Until(end.Add(-finalResponseReserve)), f.router.Close)
	defer closing.Stop()
	clock.Wait(ctx, timing.Notice-time.Since(f.drainedAt))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	f.cancel()
	_ = f.listener.Close() // from here on only open connections are served
	err := f.callers.drain(ctx)
	f.router.AwaitForwarded(ctx)
	eventFrontDrained.Log(f.logger, "error", err)
	for _, server := range f.servers {
		_ = server.Close() // the process exits
	}
	return err
}
