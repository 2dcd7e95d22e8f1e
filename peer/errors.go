package peer

import "github.com/burdockspindle/burdockspindle/topo"

// CallError reports a call without a response.
type CallError struct {
	Node topo.NodeID
	Op   string // a Kind
	// Sent is false only if it is proven that nothing was sent.
	Sent bool
	// Cause is one of the typed errors below, the context's error, or the
	// transport's.
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	return "node " + string(e.Node) + ": " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// UnknownNodeError reports a node whose address is unknown.
type UnknownNodeError struct{ Node topo.NodeID }

// Error implements error.
func (e *UnknownNodeError) Error() string { return "no address known" }

// UnimplementedError reports a call for which the other node has no handler.
type UnimplementedError struct{ Kind Kind }

// Error implements error.
func (e *UnimplementedError) Error() string { return string(e.Kind) + " is not served there" }

// WrongNodeError reports that a different node responds at the address.
type WrongNodeError struct {
	Want topo.NodeID
	Got  topo.NodeID // empty if the responder reported only that it is not Want
}

// Error implements error.
func (e *WrongNodeError) Error() string {
	return "the address belongs to node " + string(e.Got) + ", not " + string(e.Want)
}

// RemoteError reports that the other node's handler failed.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Message }

// TooLargeError reports a message that exceeds the size limit.
type TooLargeError struct{ Kind Kind }

// Error implements error.
func (e *TooLargeError) Error() string { return string(e.Kind) + " message is too large" }
