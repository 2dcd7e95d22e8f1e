package lease

import "github.com/burdockspindle/burdockspindle/topo"

// Problem is the reason why a server is not the owner.
type Problem string

// Problems.
const (
	ProblemExpired    Problem = "lease lapsed"
	ProblemNotGranted Problem = "shard not granted"
	ProblemOtherFence Problem = "granted under another fence"
	ProblemExcepted   Problem = "key split out of the shard"
	ProblemOtherKey   Problem = "key not covered by the shard"
	ProblemNotBegun   Problem = "run not begun"
)

// NotOwnerError reports that a server may not serve a shard under a fence. If
// Holder.Begin returns it, the request did not run.
type NotOwnerError struct {
	Shard   topo.ShardID
	Fence   topo.Fence
	Problem Problem
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return "not owner of " + e.Shard.String() + " under " + e.Fence.String() + ": " + string(e.Problem)
}
