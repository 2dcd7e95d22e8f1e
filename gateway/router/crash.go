package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/reachability"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

var eventCrash = events.Define(2203, hclog.Warn, "server ended while it had a request")

const (
	// crashWatchTime is how long a server that closed a connection is watched for its end:
	// its entry in the registry expires three heartbeats after it.
	crashWatchTime = 4 * time.Second
	// maxCrashRequests bounds the requests of this node that were in flight at one server.
	maxCrashRequests = 64
	// maxCrashWatches bounds the servers that are watched at the same time.
	maxCrashWatches = 256
)

// crashes determines which servers ended while they had requests of this node in flight. A
// connection that ends is not sufficient: a server may close single connections, and a
// network may reset them.
type crashes struct {
	client *upstream.Client
	logger hclog.Logger
	// onCrash is called for each request of a server that ended.
	onCrash func(site.ServerID, crashedRequest)
	// isRegistered reports whether an incarnation of a server is registered, and none that
	// started later under its name. changed returns a channel that is closed when that may
	// have changed.
	isRegistered func(site.ServerID) bool
	changed      func() <-chan struct{}
	// sampleServers returns some of the registered servers that a filter accepts.
	sampleServers func(filter func(site.ServerID) bool) []site.Server
	// isReachedByOthers reports whether another node can connect to a server.
	isReachedByOthers func(context.Context, site.ServerID) bool

	mu      sync.Mutex
	watches map[site.ServerID]*crashWatch
}

func newCrashes(state *view.State, client *upstream.Client, logger hclog.Logger, onCrash func(site.ServerID, crashedRequest), isReachedByOthers func(context.Context, site.ServerID) bool) *crashes {
	return &crashes{
		client:  client,
		logger:  logger,
		onCrash: onCrash,
		isRegistered: func(id site.ServerID) bool {
			now := state.Now()
			_, exists := now.Servers.Servers[id]
			return exists && !now.Restarted(id)
		},
		changed:           state.Changed,
		sampleServers:     func(filter func(site.ServerID) bool) []site.Server { return sampleServers(state.Now(), filter) },
		isReachedByOthers: isReachedByOthers,
		watches:           map[site.ServerID]*crashWatch{},
	}
}

// sampleServers returns some of the registered servers that a filter accepts.
func sampleServers(v *view.View, filter func(site.ServerID) bool) []site.Server {
	accepted := make([]site.Server, 0, len(v.Servers.Servers))
	for id, server := range v.Servers.Servers {
		if filter(id) {
			accepted = append(accepted, server)
		}
	}
	return reachability.Sample(accepted, newRandom())
}

// crashWatch is a server that closed a connection with a request in flight.
type crashWatch struct {
	server   site.Server
	requests []crashedRequest
	ended    bool
}

// crashedRequest is a request that was in flight.
type crashedRequest struct {
	id          string
	fingerprint quarantine.Fingerprint
	caller      quarantine.Caller
}

// note records that a server closed the connection of a request in flight.
func (c *crashes) note(ctx context.Context, server site.Server, request crashedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	watch := c.watches[server.ID]
	switch {
	case watch == nil && len(c.watches) >= maxCrashWatches:
		crashesUnwatched.Add(1)
	case watch == nil:
		watch = &crashWatch{server: server, requests: []crashedRequest{request}}
		c.watches[server.ID] = watch
		go c.watch(ctx, watch)
	case len(watch.requests) >= maxCrashRequests:
	default:
		watch.requests = append(watch.requests, request)
		if watch.ended {
			c.report(watch.server, request)
		}
	}
}

// watch reports the requests of a server once it has ended, and stops after crashWatchTime.
func (c *crashes) watch(ctx context.Context, watch *crashWatch) {
	ctx, cancel := context.WithTimeout(ctx, crashWatchTime)
	defer cancel()
	if c.hasEnded(ctx, watch.server) || c.awaitUnregistered(ctx, watch.server.ID) {
		c.mu.Lock()
		watch.ended = true
		for _, request := range watch.requests {
			c.report(watch.server, request)
		}
		c.mu.Unlock()
		<-ctx.Done() // requests whose connections end later
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watches, watch.server.ID)
}

// hasEnded reports whether no process listens at the server's address. A refused connection alone
// does not show that, because a network may refuse it too: this node must reach another server at
// the same time, and no other node may reach this one.
func (c *crashes) hasEnded(ctx context.Context, server site.Server) bool {
	return c.refusesConnections(ctx, server) && c.reachesAny(ctx, c.sampleOthers(server.ID)) && !c.isReachedByOthers(ctx, server.ID)
}

// sampleOthers returns some servers other than one: those that may have ended as well only if there
// are no others.
func (c *crashes) sampleOthers(id site.ServerID) []site.Server {
	watched := c.watchedServers()
	others := c.sampleServers(func(other site.ServerID) bool { return other != id && !watched[other] })
	if len(others) == 0 {
		others = c.sampleServers(func(other site.ServerID) bool { return other != id })
	}
	return others
}

// watchedServers returns the servers that have recently closed a connection with a request in flight.
func (c *crashes) watchedServers() map[site.ServerID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	watched := make(map[site.ServerID]bool, len(c.watches))
	for id := range c.watches {
		watched[id] = true
	}
	return watched
}

// reachesAny reports whether one of some servers accepts a connection, or there are none.
func (c *crashes) reachesAny(ctx context.Context, servers []site.Server) bool {
	reached := make(chan bool, len(servers))
	for _, server := range servers {
		go func() { reached <- c.client.Probe(ctx, server) == nil }()
	}
	for range servers {
		if <-reached {
			return true
		}
	}
	return len(servers) == 0
}

// refusesConnections reports whether connections to the server's address are refused.
func (c *crashes) refusesConnections(ctx context.Context, server site.Server) bool {
	return errors.Is(c.client.Probe(ctx, server), syscall.ECONNREFUSED)
}

// awaitUnregistered waits until the server has left the registry or restarted, and reports
// whether it has.
func (c *crashes) awaitUnregistered(ctx context.Context, id site.ServerID) bool {
	for {
		changed := c.changed()
		if !c.isRegistered(id) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// report reports that a server ended while it had a request. c.mu must be held.
func (c *crashes) report(server site.Server, request crashedRequest) {
	crashedRequests.Add(1)
	c.onCrash(server.ID, request)
	eventCrash.Log(c.logger, "server", server.ID, "service", server.Service, "request", request.id, "fingerprint", request.fingerprint.String())
}

// noteConnectionEnd records an attempt whose server closed the connection while it had the
// request.
func (x *exchange) noteConnectionEnd(attempt attemptResult) {
	var attemptErr *upstream.AttemptError
	if !errors.As(attempt.err, &attemptErr) || !attemptErr.Sent || !upstream.IsClosedByPeer(attemptErr.Cause) {
		return
	}
	request := crashedRequest{id: x.request.ID, fingerprint: x.fingerprint(), caller: callerAt(x.remoteAddress)}
	x.trace.note("fingerprint " + request.fingerprint.String())
	x.router.crashes.note(x.router.closing, attempt.server, request)
}

// callerAt returns the caller at an address with a port.
func callerAt(remoteAddress string) quarantine.Caller {
	address, _, err := net.SplitHostPort(remoteAddress)
	if err != nil {
		address = remoteAddress
	}
	return quarantine.CallerOf(address)
}

// fingerprint returns the request's fingerprint. It is computed only when it is needed,
// because it reads the whole body.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.fingerprinted == nil {
		credentials := x.request.Header.Get("Authorization")
		f := quarantine.FingerprintOf(credentials, x.request.Method, x.request.Host, x.path, x.request.Body...)
		x.fingerprinted = &f
	}
	return *x.fingerprinted
}
