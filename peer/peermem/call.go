package peermem

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"
)

// answer is the response to one request.
type answer[M any] struct {
	message M
	err     error
}

// call sends one request and waits for its response.
func call[M any](ctx context.Context, from *Node, to topo.NodeID, kind peer.Kind, req proto.Message,
	handle func(ctx context.Context, at *Node) (M, error),
) (M, error) {
	var none M
	failed := func(sent bool, cause error) (M, error) {
		return none, &peer.CallError{Node: to, Op: string(kind), Sent: sent, Cause: cause}
	}
	if err := ctx.Err(); err != nil {
		return failed(false, err)
	}
	ctx, cancel := bounded(ctx)
	defer cancel()
	at, err := from.network.connect(from, to)
	if err != nil {
		return failed(false, err)
	}
	from.network.countRequest(kind, req)
	answers := make(chan answer[M], maxDeliveries)
	wire := connection{direction{from.id, to}, kind}
	if !from.network.isStalled(wire) {
		for range from.network.copies(wire.direction) {
			go deliver(ctx, from, at, kind, handle, answers)
		}
	}
	select {
	case got := <-answers:
		if got.err != nil {
			return failed(true, got.err)
		}
		return got.message, nil
	case <-at.left:
		return failed(true, &LeftError{Node: to})
	case <-ctx.Done():
		from.network.replace(wire)
		return failed(true, ctx.Err())
	}
}

// maxDeliveries is the maximum number of copies of one request that may arrive.
const maxDeliveries = 2

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// deliver carries one copy of a request to the handler and returns the response.
// A late request is still handled, with the timeout that it had when it was
// sent.
func deliver[M any](ctx context.Context, from, at *Node, kind peer.Kind,
	handle func(ctx context.Context, at *Node) (M, error), answers chan<- answer[M],
) {
	n := from.network
	timeout := DefaultTimeout
	if deadline, has := ctx.Deadline(); has {
		timeout = time.Until(deadline)
	}
	if !n.transmit(from, at) {
		return
	}
	handleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	message, err := handle(handleCtx, at)
	n.countResponse(kind, size(message, err))
	if !n.transmit(at, from) {
		return
	}
	answers <- answer[M]{message: message, err: remote(err)}
}

func size(message any, err error) int {
	if err != nil {
		return len(err.Error())
	}
	switch m := message.(type) {
	case proto.Message:
		return proto.Size(m)
	case *chunks:
		total := 0
		for _, chunk := range m.list {
			total += proto.Size(chunk)
		}
		return total
	}
	return 0
}

// remote converts a handler's error to the form that the caller receives.
func remote(err error) error {
	var unimplemented *peer.UnimplementedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unimplemented), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return err
	}
	return &peer.RemoteError{Message: err.Error()}
}

// connect returns the node to call; an error proves that nothing was sent.
func (n *Network) connect(from *Node, to topo.NodeID) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, exists := n.nodes[to]
	if !exists {
		return nil, &peer.UnknownNodeError{Node: to}
	}
	if n.faults[direction{from.id, to}].Refuse {
		return nil, &RefusedError{Node: to}
	}
	return at, nil
}

func (n *Network) isStalled(wire connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalled[wire]
}

// replace replaces a stalled connection after a call without a response.
func (n *Network) replace(wire connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.stalled, wire)
}

// copies returns a random number of deliveries of a request.
func (n *Network) copies(d direction) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if chance := n.faults[d].Duplicate; chance > 0 && n.random.Float64() < chance {
		return maxDeliveries
	}
	return 1
}

// transmit carries a message from one node to another and reports whether it
// arrived. A message is lost if the link is cut when it is sent or when it
// arrives, or if either node has left.
func (n *Network) transmit(from, to *Node) bool {
	if !n.waitRunning(from) {
		return false
	}
	delay, lost := n.drawFault(direction{from.id, to.id})
	if lost {
		return false
	}
	if delay > 0 && !n.sleep(delay, to) {
		return false
	}
	if !n.waitRunning(to) {
		return false
	}
	_, lost = n.drawFault(direction{from.id, to.id})
	return !lost
}

// waitRunning waits until a node is not paused. It reports false if the node has
// left or the network is closed.
func (n *Network) waitRunning(node *Node) bool {
	n.mu.Lock()
	running := node.running
	n.mu.Unlock()
	select {
	case <-node.left:
		return false
	default:
	}
	select {
	case <-running:
		return true
	case <-node.left:
		return false
	case <-n.closed:
		return false
	}
}

func (n *Network) sleep(delay time.Duration, to *Node) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-to.left:
		return false
	case <-n.closed:
		return false
	}
}

// drawFault returns the delay of a message and whether the link loses it.
func (n *Network) drawFault(d direction) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.faults[d]
	if fault.Cut {
		return 0, true
	}
	delay = fault.Delay
	if fault.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(fault.Jitter)))
	}
	if fault.Reorder > 0 && n.random.Float64() < fault.Reorder {
		delay += fault.HoldBack
	}
	return delay, false
}

// LeftError reports a node that left before it responded to a request.
type LeftError struct{ Node topo.NodeID }

// Error implements error.
func (e *LeftError) Error() string { return "connection reset, node left" }

// RefusedError reports a refused connection.
type RefusedError struct{ Node topo.NodeID }

// Error implements error.
func (e *RefusedError) Error() string { return "connection refused" }
