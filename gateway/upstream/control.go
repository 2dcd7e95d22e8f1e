package upstream

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// establishTimeout bounds the opening of a connection for control calls. A full server
// accepts a connection only when one of its slots becomes free, which takes seconds.
const establishTimeout = 5 * time.Second

// ControlCall is a call that the gateway itself makes, not on behalf of a caller.
type ControlCall struct {
	Path string
	Body []byte // JSON
}

// Control sends a control call on a connection on which the server has answered before.
// The error is an *AttemptError.
//
// A new connection is first used for opening, a call without an effect. The kernel of a full
// server's machine accepts a connection and acknowledges bytes on it long before the process
// does, and a reset is lost in a network partition, so that a grant sent first could be
// applied seconds after it was abandoned. Control calls and requests use separate connections:
// a full server accepts no new one, and would lose its keys because they are not renewed.
func (c *Client) Control(ctx context.Context, server site.Server, opening, call ControlCall) (*Answer, error) {
	key := idleKey{address: server.Address, server: server.ID, control: true}
	cn, err := c.acceptedConn(ctx, key, server, opening)
	var noKeepAlive *NoKeepAliveError
	if errors.As(err, &noKeepAlive) {
		cn, err = c.unacceptedConn(ctx, server)
	}
	if err != nil {
		return nil, &AttemptError{Server: server.ID, Rejected: isClosedByPeer(err), Cause: err}
	}
	answer, reusable, err := c.sendControl(ctx, cn, server, call)
	return c.finish(key, cn, answer, reusable, err)
}

// sendControl writes a control call to a connection and reads its answer.
func (c *Client) sendControl(ctx context.Context, cn *conn, server site.Server, call ControlCall) (*Answer, bool, error) {
	header := http.Header{"Content-Type": {"application/json"}, c.headers.ExpectedServer: {string(server.ID.Name())}}
	r := &Request{Method: http.MethodPost, Target: call.Path, Host: server.Address, Header: header, Body: bodies.Of(call.Body)}
	var head bytes.Buffer
	writeHead(&head, r)
	writeHeader(&head, header)
	writeLength(&head, r)
	cn.acknowledgment.reset()
	check := time.AfterFunc(acknowledgmentCheckDelay, func() { cn.acknowledgment.check(cn.net) })
	defer check.Stop()
	return c.exchange(ctx, cn, server.ID, r, head.Bytes(), false)
}

// acceptedConn returns a connection on which the server has answered: an idle one or a
// new one.
func (c *Client) acceptedConn(ctx context.Context, key idleKey, server site.Server, call ControlCall) (*conn, error) {
	for ctx.Err() == nil {
		becameIdle := c.pending.idleSignal(key)
		if cn := c.idle.take(key, time.Now(), false); cn != nil {
			return cn, nil
		}
		pending, isNew := c.pending.join(key)
		if isNew {
			go c.establish(ctx, key, server, call, pending)
		}
		select {
		case <-becameIdle:
			continue
		case <-pending.done:
		case <-ctx.Done():
			c.makeIdle(key, pending)
			if pending.isConnected.Load() {
				return nil, &UnacceptedError{}
			}
			continue
		}
		if cn := pending.take(); cn != nil {
			return cn, nil
		}
		if pending.err != nil && !isNotOpened(pending.err) {
			return nil, pending.err
		}
	}
	return nil, &NotOpenedError{Cause: ctx.Err()}
}

// isNotOpened reports whether the call that requested a connection was canceled before the
// connection was used.
func isNotOpened(err error) bool {
	var notOpened *NotOpenedError
	return errors.As(err, &notOpened)
}

// unacceptedConn returns a new connection to a server that keeps none. A call sent on it may
// be applied late even if its bytes were acknowledged.
func (c *Client) unacceptedConn(ctx context.Context, server site.Server) (*conn, error) {
	cn, err := c.dialControl(ctx, server)
	if err != nil {
		return nil, err
	}
	cn.mayBeUnaccepted = true
	return cn, nil
}

// dialControl dials a connection for control calls.
func (c *Client) dialControl(ctx context.Context, server site.Server) (*conn, error) {
	raw, err := c.connect(ctx, server)
	if err != nil {
		return nil, err
	}
	if err := setControlStallTimeout(raw); err != nil {
		reset(raw)
		return nil, err
	}
	return newConn(raw, c.meter(server)), nil
}

// establish opens a connection. It continues after the call that requested the connection is
// canceled, so that the next call finds it accepted.
func (c *Client) establish(callerCtx context.Context, key idleKey, server site.Server, call ControlCall, pending *pendingConn) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(callerCtx), establishTimeout)
	defer cancel()
	cn, answer, err := c.dialAccepted(ctx, callerCtx, server, call, pending)
	if err == nil {
		cn.markAnswered(answer)
		cn.mayBeSent = false
	}
	c.pending.finish(key, pending, cn, err)
	if callerCtx.Err() != nil {
		c.makeIdle(key, pending)
	}
}

// makeIdle returns a pending connection to the idle pool unless a call has taken it.
func (c *Client) makeIdle(key idleKey, pending *pendingConn) {
	if cn := pending.take(); cn != nil {
		c.idle.put(key, cn)
		c.pending.signalIdle(key)
	}
}

// dialAccepted dials a connection, makes a call on it and returns it with the answer.
func (c *Client) dialAccepted(ctx, callerCtx context.Context, server site.Server, call ControlCall, pending *pendingConn) (*conn, *Answer, error) {
	cn, err := c.dialControl(ctx, server)
	if err != nil {
		return nil, nil, err
	}
	if err := callerCtx.Err(); err != nil {
		reset(cn.net)
		return nil, nil, &NotOpenedError{Cause: err}
	}
	pending.isConnected.Store(true)
	answer, reusable, err := c.sendControl(ctx, cn, server, call)
	switch {
	case err != nil:
		cn.abandon()
		return nil, nil, err
	case !reusable:
		reset(cn.net)
		return nil, nil, &NoKeepAliveError{}
	}
	return cn, answer, nil
}
