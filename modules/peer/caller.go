package peer

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// headerTo names the destination node of a call, so that a process that
// took over an address refuses calls to the previous node at that address.
const headerTo = "Burdockspindle-To"

// client makes calls to peers; it implements peer.Caller.
type client struct {
	sender    *bspb.Sender
	directory *directory
	dialer    *dialer
	timing    linkTiming
	// timeout bounds calls whose context has no deadline.
	timeout time.Duration
	logger  hclog.Logger

	mu     sync.Mutex
	links  map[linkKey]*link
	closed bool
}

type linkKey struct {
	address string
	kind    core.Kind
}

var _ core.Caller = (*client)(nil)

// Sender implements peer.Caller.
func (c *client) Sender() *bspb.Sender { return c.sender }

// Known implements peer.Caller.
func (c *client) Known() []topo.NodeID { return c.directory.known() }

// link returns the link to an address for a kind, making it if needed.
func (c *client) link(address string, kind core.Kind) *link {
	key := linkKey{address: address, kind: kind}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if l, exists := c.links[key]; exists {
		l.touch(now)
		return l
	}
	c.sweep(now)
	l := &link{
		kind: kind, address: address, dial: c.dialer.dial,
		generation: c.dialer.generation, timing: c.timing, onStalled: c.reportStalled, closed: c.closed,
		lastUsed: now,
	}
	c.links[key] = l
	return l
}

func (c *client) reportStalled(l *link, first bool) {
	metricStalledReplaced.Add(string(l.kind), 1)
	if first {
		eventStalled.Log(c.logger, "address", l.address, "kind", l.kind)
	}
}

// linkDump is the state of one link in the state dump.
type linkDump struct {
	Address string    `json:"address"`
	Kind    core.Kind `json:"kind"`
	Open    bool      `json:"open"`
	Calls   int       `json:"calls"`
}

func (c *client) dump() []linkDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]linkDump, 0, len(c.links))
	for _, l := range c.links {
		rows = append(rows, l.dump())
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Address != rows[j].Address {
			return rows[i].Address < rows[j].Address
		}
		return rows[i].Kind < rows[j].Kind
	})
	return rows
}

// linkIdleTimeout is the idle time after which a link is removed, for example
// because the node at its address no longer exists.
const linkIdleTimeout = 10 * time.Minute

// sweep removes idle links; the caller holds c.mu. It runs whenever a link to a
// new address or kind is made, so that links do not accumulate over years.
func (c *client) sweep(now time.Time) {
	for key, l := range c.links {
		if l.unusedSince(now.Add(-linkIdleTimeout)) {
			delete(c.links, key)
			l.close()
		}
	}
}

// close closes every connection, including those with calls in flight.
func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = map[linkKey]*link{}
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// target is the destination of a call. allowance is the time that the peer may
// wait before it responds, in addition to the usual timeouts.
type target struct {
	node      topo.NodeID // empty if only the address is known
	address   string
	kind      core.Kind
	allowance time.Duration
}

func (c *client) target(node topo.NodeID, kind core.Kind) (target, error) {
	address, known := c.directory.address(node)
	if !known {
		return target{}, &core.CallError{Node: node, Op: string(kind), Cause: &core.UnknownNodeError{Node: node}}
	}
	return target{node: node, address: address, kind: kind}, nil
}

// attempt runs one call on the target's connection and wraps its failure in a
// *peer.CallError.
func (c *client) attempt(ctx context.Context, to target, run func(ctx context.Context, conn *peerConn) error) error {
	metricCalls.Add(string(to.kind), 1)
	if ctx.Err() != nil {
		return c.callError(to, false, ctx.Err()) // on an open connection the outcome would be uncertain
	}
	l := c.link(to.address, to.kind)
	conn, err := l.acquire(ctx, to.allowance)
	if err != nil {
		return c.callError(to, false, err)
	}
	defer conn.end()
	begun := time.Now()
	if err := run(ctx, conn); err != nil {
		if ctx.Err() != nil && !conn.socket.readSince(begun) && time.Since(begun) >= c.timing.stallTimeout+to.allowance {
			l.discard(conn)
		}
		return c.callError(to, true, err)
	}
	l.recordResponse()
	return nil
}

func (c *client) callError(to target, sent bool, err error) error {
	metricCallFailures.Add(string(to.kind), 1)
	return &core.CallError{Node: to.node, Op: string(to.kind), Sent: sent, Cause: cause(to, err)}
}

// cause converts an error of the transport to the type that callers check for.
func cause(to target, err error) error {
	var remote *connect.Error
	if !errors.As(err, &remote) {
		return err
	}
	switch remote.Code() {
	case connect.CodeUnimplemented:
		return &core.UnimplementedError{Kind: to.kind}
	case connect.CodeFailedPrecondition:
		return &core.WrongNodeError{Want: to.node}
	case connect.CodeResourceExhausted:
		return &core.TooLargeError{Kind: to.kind}
	case connect.CodeDeadlineExceeded:
		return context.DeadlineExceeded
	case connect.CodeCanceled:
		return context.Canceled
	}
	if connect.IsWireError(err) {
		return &core.RemoteError{Message: remote.Message()}
	}
	return err
}

// checkSender rejects a response from a node other than the target.
func (c *client) checkSender(to target, from *bspb.Sender) error {
	got := topo.NodeID(from.GetNode())
	if to.node == "" || got == to.node {
		return nil
	}
	eventWrongNode.Log(c.logger, "want", to.node, "got", got, "address", to.address)
	c.directory.removeSeed(to.address)
	return c.callError(to, true, &core.WrongNodeError{Want: to.node, Got: got})
}

// withDefaultTimeout applies the default timeout to a context without a deadline.
func (c *client) withDefaultTimeout(ctx context.Context, allowance time.Duration) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout+allowance)
}

// message is a response that names its sender.
type message interface {
	proto.Message
	GetSender() *bspb.Sender
}

// method is one unary procedure of the generated client.
type method[Req, Res any] func(bspbconnect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// unary makes one call and checks the sender of the response.
func unary[Req, Res any](ctx context.Context, c *client, to target, req *Req, call method[Req, Res]) (*Res, error) {
	ctx, cancel := c.withDefaultTimeout(ctx, to.allowance)
	defer cancel()
	var answer *Res
	err := c.attempt(ctx, to, func(ctx context.Context, conn *peerConn) error {
		outgoing := connect.NewRequest(req)
		if to.node != "" {
			outgoing.Header().Set(headerTo, string(to.node))
		}
		response, err := call(conn.client, ctx, outgoing)
		if err == nil {
			answer = response.Msg
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := c.checkSender(to, any(answer).(message).GetSender()); err != nil {
		return nil, err
	}
	return answer, nil
}
