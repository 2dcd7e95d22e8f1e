package lessor

import "github.com/burdockspindle/burdockspindle/topo"

// UnknownGroupError reports a message about a group that this node does not know,
// for example because the node's state lags behind the log.
type UnknownGroupError struct{ Group topo.GroupID }

// Error implements error.
func (e *UnknownGroupError) Error() string {
	return "group " + string(e.Group) + " is not known here"
}

// StoppingError reports a message to a node whose lessor module is stopping or has
// stopped.
type StoppingError struct{}

// Error implements error.
func (e *StoppingError) Error() string { return "lessor duty is stopping" }
