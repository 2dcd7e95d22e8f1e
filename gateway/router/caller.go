package router

import "context"

// Caller is the connection on which a request arrived.
type Caller interface {
	// Disconnected reports whether the caller has closed or reset the connection, even if
	// the end of the connection has not been read yet.
	Disconnected() bool
}

type callerKey struct{}

// WithCaller returns a context for the requests of a connection.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func callerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(Caller)
	return c
}

// callerDisconnected reports whether the caller no longer waits. The end of a connection
// is read concurrently with the request, so that a node that was stalled finds both at
// once and would otherwise forward a request whose caller has disconnected.
func (x *exchange) callerDisconnected() bool { return x.caller != nil && x.caller.Disconnected() }
