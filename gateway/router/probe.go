package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// probedNodes is how many other nodes are asked whether they can connect to a server.
	probedNodes = 8
	// probeTimeout bounds the wait for their answers. A node that is asked waits up to 300 ms for
	// its connection.
	probeTimeout = 500 * time.Millisecond
	// probeRequestID is the ID of such requests; a connection carries one at a time.
	probeRequestID = "probe"
)

// isReachedByOthers reports whether one of some other nodes can connect to a server now. Nodes
// that do not answer have no say.
func (r *Router) isReachedByOthers(ctx context.Context, server site.ServerID) bool {
	if r.forwarding == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nodes := r.forwarding.otherNodes(r.state.Now().Members)
	reached := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() { reached <- r.forwarding.probe(ctx, node, server) }()
	}
	for range nodes {
		if <-reached {
			return true
		}
	}
	return false
}

// otherNodes returns up to probedNodes random nodes.
func (f *forwarding) otherNodes(members []view.Member) []view.Member {
	var others []view.Member
	for _, m := range members {
		if m.Boot != f.self.Boot && m.Address != "" {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), probedNodes)]
}

// probe asks a node whether it can connect to a server.
func (f *forwarding) probe(ctx context.Context, node view.Member, server site.ServerID) bool {
	message := forward.Probe{Node: f.self.Node, Boot: f.self.Boot, ToBoot: node.Boot, Server: server}
	request := &upstream.Request{
		Method:    http.MethodPost,
		Target:    forward.ProbePath,
		Host:      node.Address,
		Header:    http.Header{forward.Header: {forward.Encode(message)}, f.requestIDHeader: {probeRequestID}},
		ID:        probeRequestID,
		Remaining: probeTimeout,
	}
	answer, err := f.client.Send(ctx, site.Server{ID: site.ServerID(node.Boot), Address: node.Address, Zone: node.Zone}, request)
	if err != nil {
		return false
	}
	decoded, err := forward.DecodeProbeAnswer(answer.Header.Get(forward.Header))
	return err == nil && decoded.Reached
}

// ServeProbe answers another node of the site whether this one can connect to a server.
func (r *Router) ServeProbe(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(r.headers.RequestID, request.Header.Get(r.headers.RequestID))
	message, err := forward.DecodeProbe(request.Header.Get(forward.Header))
	if err != nil || r.forwarding == nil || message.ToBoot != r.forwarding.self.Boot || !r.isNode(message.Node, message.Boot, request.RemoteAddr) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	server, exists := r.state.Now().Servers.Servers[message.Server]
	answer := forward.ProbeAnswer{Reached: exists && r.client.Probe(request.Context(), server) == nil}
	w.Header().Set(forward.Header, forward.Encode(answer))
	w.WriteHeader(http.StatusOK)
}
