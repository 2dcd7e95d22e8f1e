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

// headerTo names the node for which a call is meant, so that a process that
// took over an address refuses calls to the one before it.
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
		generation: c.dialer.generation, timing: c.timing, onSilent: c.replacedSilent, closed: c.closed,
		used: now,
	}
	c.links[key] = l
	return l
}

func (c *client) replacedSilent(l *link, first bool) {
	metricSilentReplaced.Add(string(l.kind), 1)
	if first {
		eventSilent.Log(c.logger, "address", l.address, "kind", l.kind)
	}
}

// linkDump is one link's row in the state dump.
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

// forgetLinkAfter is how long a link may be without a call before it is
// forgotten, as when the node at its address is gone.
const forgetLinkAfter = 10 * time.Minute

// sweep forgets links that are not in use; the mutex is held. It runs whenever a
// new address or kind comes up, so that links do not pile up over the years.
func (c *client) sweep(now time.Time) {
	for key, l := range c.links {
		if l.unusedSince(now.Add(-forgetLinkAfter)) {
			delete(c.links, key)
			l.close()
		}
	}
}

// close cuts off every connection.
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

// target says whom to call and how long the other side may wait.
type target struct {
	node      topo.NodeID // empty when only the address is known
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

// attempt runs one call on the target's connection and turns its failure into
// a *peer.CallError.
func (c *client) attempt(ctx context.Context, to target, run func(ctx context.Context, w *wire) error) error {
	metricCalls.Add(string(to.kind), 1)
	if ctx.Err() != nil {
		return c.failed(to, false, ctx.Err()) // else an open connection would make it unknown
	}
	l := c.link(to.address, to.kind)
	w, err := l.acquire(ctx, to.allowance)
	if err != nil {
		return c.failed(to, false, err)
	}
	defer w.end()
	begun := time.Now()
	if err := run(ctx, w); err != nil {
		if ctx.Err() != nil && !w.socket.readSince(begun) && time.Since(begun) >= c.timing.silence+to.allowance {
			l.discard(w)
		}
		return c.failed(to, true, err)
	}
	l.heard()
	return nil
}

func (c *client) failed(to target, sent bool, err error) error {
	metricCallFailures.Add(string(to.kind), 1)
	return &core.CallError{Node: to.node, Op: string(to.kind), Sent: sent, Cause: cause(to, err)}
}

// cause gives a transport's error the type that callers look for.
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

// checkSender refuses an answer that another node gave.
func (c *client) checkSender(to target, from *bspb.Sender) error {
	got := topo.NodeID(from.GetNode())
	if to.node == "" || got == to.node {
		return nil
	}
	eventWrongNode.Log(c.logger, "want", to.node, "got", got, "address", to.address)
	c.directory.forget(to.address)
	return c.failed(to, true, &core.WrongNodeError{Want: to.node, Got: got})
}

// bounded gives a context without a deadline the default one.
func (c *client) bounded(ctx context.Context, allowance time.Duration) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout+allowance)
}

// message is a response that tells who sent it.
type message interface {
	proto.Message
	GetSender() *bspb.Sender
}

// method is one unary procedure of the generated client.
type method[Req, Res any] func(bspbconnect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// unary makes one call and checks who answered.
func unary[Req, Res any](ctx context.Context, c *client, to target, req *Req, call method[Req, Res]) (*Res, error) {
	ctx, cancel := c.bounded(ctx, to.allowance)
	defer cancel()
	var answer *Res
	err := c.attempt(ctx, to, func(ctx context.Context, w *wire) error {
		outgoing := connect.NewRequest(req)
		if to.node != "" {
			outgoing.Header().Set(headerTo, string(to.node))
		}
		response, err := call(w.client, ctx, outgoing)
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
