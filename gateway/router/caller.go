package router

import "context"

// Caller is the connection on which a request came.
type Caller interface {
	// Left reports whether the caller has closed or reset the connection, also if
	// nobody has read that yet.
	Left() bool
}

type callerKey struct{}

// WithCaller returns the context of a connection's requests.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func callerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(Caller)
	return c
}

// callerDisconnected looks whether the caller still waits. A node that stood still finds
// a request and the end of its connection at once, and would send on in that moment
// what nobody waits for any more: the end of a connection is read beside the request.
func (x *exchange) callerDisconnected() bool { return x.caller != nil && x.caller.Left() }
