package router

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// maxForwards bounds how often a request is forwarded while the node is partitioned from its
	// servers: a node that is partitioned too refuses within about a millisecond.
	// maxForwardsConnected bounds how often it is forwarded otherwise, to nodes that are not
	// partitioned: a server that accepts no connection has then usually ended.
	maxForwards          = 6
	maxForwardsConnected = 1
	// forwardMargin is how much earlier the other node's deadline is, so that its answer
	// arrives in time.
	forwardMargin = 10 * time.Millisecond
)

// forwarding sends requests by way of other nodes, and serves requests of other nodes.
type forwarding struct {
	self   view.Member
	client *upstream.Client
	// requestIDHeader is the name of the header with a request's ID.
	requestIDHeader string
	peers           *forward.Peers
	isPartitioned   func(site.ServiceName) bool
	// inFlight is the number of requests of other nodes that are being served, and bodyBytes
	// the length of their bodies.
	inFlight, bodyBytes atomic.Int64
}

// EnableForwarding lets the router forward requests by way of other nodes, with a client for
// nodes, when it cannot connect to servers. It must be called before the router is used.
func (r *Router) EnableForwarding(self view.Member, client *upstream.Client, isPartitioned func(site.ServiceName) bool) {
	r.forwarding = &forwarding{self: self, client: client, requestIDHeader: r.headers.RequestID, peers: forward.NewPeers(), isPartitioned: isPartitioned}
}

// isPartitioned reports whether the node can connect to no server that may run the request.
func (x *exchange) isPartitioned() bool {
	f := x.router.forwarding
	return f != nil && f.isPartitioned(x.service.name)
}

// UnblockServers ends the pauses of all servers of a service to which connections have failed.
func (r *Router) UnblockServers(name site.ServiceName) {
	s := r.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Unblock()
	s.deliver(s.pool.Admit(time.Now()))
}

// destination returns the servers that may run the request.
func (x *exchange) destination() forward.Destination {
	if !x.keyed {
		return forward.Destination{Service: x.service.name}
	}
	route, _ := x.router.state.Now().RouteOf(x.service.name, x.key)
	return forward.Destination{Service: x.service.name, Server: route.Server}
}

// nextPeer returns the node to which the request is forwarded. A request that was forwarded once
// is not forwarded again by the next node.
func (x *exchange) nextPeer() (view.Member, bool) {
	f := x.router.forwarding
	areSendsSpent := !x.keyed && x.sends >= max(x.route.Attempts, 1)
	if f == nil || x.forwarded != nil || x.isTrial || areSendsSpent || x.forwards >= x.maxForwards() || time.Until(x.deadline) < 2*forwardMargin {
		return view.Member{}, false
	}
	return f.peers.Pick(f.self, x.forwardCandidates(), x.destination(), x.forwardedTo, time.Now())
}

func (x *exchange) maxForwards() int {
	if x.isPartitioned() {
		return maxForwards
	}
	return min(maxForwardsConnected+x.partitionedPeers, maxForwards)
}

// sendNext sends the request to a server, or by way of another node if this node is partitioned
// or cannot connect to the servers that may run it. It returns the final result if neither is
// possible.
func (d *dispatch) sendNext() *result {
	x := d.x
	if x.peerRefusal != nil {
		if x.peerRefusal.isOverloaded && x.countedServer == "" && d.forwardNext() {
			return nil
		}
		end := x.giveUp(x.peerRefusal)
		return &end
	}
	if owner, isCounted := x.countedOwner(); isCounted {
		return d.forwardToCounter(owner)
	}
	if x.isPartitioned() && d.forwardNext() {
		return nil
	}
	server, end := x.acquireSlotToSend(d.caller)
	if owner, isCounted := x.countedOwner(); end != nil && isCounted && x.countedServer == "" {
		return d.forwardToCounter(owner) // found out by the check
	}
	switch {
	case end == nil:
		d.sendTo(server)
	case x.limitedServer != "" && x.forwarded == nil:
		return d.forwardToCounterOf(x.limitedServer)
	case !x.isUnreachable || !d.forwardNext():
		return end
	}
	return nil
}

// forwardNext forwards the request if another node may serve it, and reports whether it has.
func (d *dispatch) forwardNext() bool {
	x := d.x
	peer, found := x.nextPeer()
	if !found || d.caller.Err() != nil || x.callerDisconnected() || x.isQuarantined() {
		return false
	}
	d.forwardTo(peer)
	return true
}

// forwardTo sends the request to another node.
func (d *dispatch) forwardTo(peer view.Member) {
	x := d.x
	f := x.router.forwarding
	x.forwards++
	x.forwardedTo = append(x.forwardedTo, peer.Boot)
	request := x.forwardRequest(peer)
	f.peers.Begin(peer.Boot)
	forwardsSent.Add(1)
	go func() {
		startedAt := time.Now()
		server := site.Server{ID: site.ServerID(peer.Boot), Address: peer.Address, Zone: peer.Zone}
		answer, err := f.client.Send(d.ctx, server, request)
		f.peers.End(peer.Boot)
		d.results <- attemptResult{peer: &peer, answer: answer, err: err, duration: time.Since(startedAt)}
	}()
	d.inFlight++
	d.lastTarget = peer.Node
	d.hedgeTimer, d.probeTimer, d.probeResult = nil, nil, nil
}

func (x *exchange) forwardRequest(peer view.Member) *upstream.Request {
	f := x.router.forwarding
	message := forward.Request{
		Node:          f.self.Node,
		Boot:          f.self.Boot,
		ToBoot:        peer.Boot,
		Method:        x.request.Method,
		Host:          x.request.Host,
		Target:        x.request.Target,
		Caller:        x.remoteAddress,
		ConfigVersion: uint64(x.view.Config.Version),
		Service:       x.service.name,
		ObjectiveMs:   time.Until(x.target).Milliseconds(),
		WaitedMs:      x.returned.Milliseconds(),
		Sends:         x.sends,
		Tried:         x.reached(),
		MayWait:       x.isPartitioned(),
		Counted:       x.countedServer,
	}
	request := x.request
	request.Method = http.MethodPost
	request.Target = forward.Path
	request.Host = peer.Address
	request.Header = x.request.Header.Clone()
	request.Header.Set(forward.Header, forward.Encode(message))
	request.Remaining = time.Until(x.deadline) - forwardMargin
	request.Fresh = x.route.Kind == site.AtMostOnce
	return &request
}

// reached returns the servers that have been tried and may have got the request.
func (x *exchange) reached() []site.ServerID {
	return slices.DeleteFunc(slices.Clone(x.tried), func(id site.ServerID) bool { return slices.Contains(x.unreached, id) })
}

// isForwardFinal records the result of a forwarded attempt and reports whether the request is
// done. The other node has retried as far as that is allowed.
func (x *exchange) isForwardFinal(attempt attemptResult) bool {
	x.peerFailure = ""
	sendsBefore := x.sends
	if attempt.err != nil {
		x.pausePeer(attempt, forward.Destination{}, forward.UnavailablePause)
		return wasSent(attempt.err) && x.failForwarded("connection to the forwarding node lost", sendsBefore)
	}
	message, err := forward.DecodeAnswer(attempt.answer.Header.Get(forward.Header))
	attempt.answer.Header.Del(forward.Header)
	switch {
	case err != nil && attempt.answer.Status == http.StatusNotFound:
		x.pausePeer(attempt, forward.Destination{}, forward.UnsupportedPause)
		return false
	case err != nil:
		x.pausePeer(attempt, forward.Destination{}, forward.UnavailablePause)
		return x.failForwarded("no answer by way of another node", sendsBefore)
	}
	x.recordSendsOfPeer(message)
	switch message.Outcome {
	case forward.Answered:
		x.mayHaveRun = true
		x.noteForwardedAnswer(message.Server, attempt.answer.Notice)
		x.router.forwarding.peers.RecordServed(attempt.peer.Boot, x.service.name, time.Now())
		return true
	case forward.Unknown:
		return x.failForwarded("by way of another node: "+message.Reason, sendsBefore)
	}
	x.recordPeerRefusal(attempt, message)
	return false
}

// noteForwardedAnswer applies what the answer of a server that came by way of another node says of the server.
// Its load and its limit concern the other node, which has them.
func (x *exchange) noteForwardedAnswer(server site.ServerID, notice site.Notice) {
	if server != "" && notice.IsLeaving {
		x.router.client.Observe(server, site.Notice{IsLeaving: true})
	}
}

// recordPeerRefusal decides what the refusal of another node means: for the node, for the servers
// that it should reach, or for the request.
func (x *exchange) recordPeerRefusal(attempt attemptResult, message forward.Answer) {
	switch {
	case message.Unavailable, attempt.answer.Status != http.StatusServiceUnavailable:
		x.pausePeer(attempt, forward.Destination{}, forward.UnavailablePause)
		return
	case message.Partitioned:
		x.partitionedPeers++
		x.router.forwarding.peers.RecordPartitioned(attempt.peer.Boot, x.service.name, message.Alternative, time.Now())
		return
	case message.Unreachable:
		x.pausePeer(attempt, x.destination(), forward.UnreachablePause)
		return
	case message.Overloaded:
		x.pausePeer(attempt, x.destination(), forward.OverloadedPause)
	}
	x.peerRefusal = &refusal{status: attempt.answer.Status, reason: message.Reason, retryAfter: retryAfterOf(attempt.answer.Header), isOverloaded: message.Overloaded}
}

// pausePeer makes this node pass over the node of an attempt for requests to some servers.
func (x *exchange) pausePeer(attempt attemptResult, to forward.Destination, pause time.Duration) {
	now := time.Now()
	x.router.forwarding.peers.Pause(attempt.peer.Boot, to, now.Add(pause), now)
}

// recordSendsOfPeer adds the attempts of the other node, which bound those that may follow.
func (x *exchange) recordSendsOfPeer(message forward.Answer) {
	if message.Sends <= x.sends {
		return
	}
	x.peerSends += message.Sends - x.sends
	x.sends = message.Sends
	x.attempts = max(x.attempts, 1)
	x.tried = append(x.tried, message.Tried...)
}

// failForwarded records that the request may have run without an answer, and reports whether it is
// done by that. Unless the other node has told of a send, one is counted that it may have made.
func (x *exchange) failForwarded(failure string, sendsBefore int) bool {
	x.mayHaveRun = true
	x.peerFailure = failure
	if x.sends == sendsBefore {
		x.sends++
		x.attempts = max(x.attempts, 1)
	}
	return x.route.Kind == site.AtMostOnce
}
