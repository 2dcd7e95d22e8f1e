package membership

import "github.com/burdockspindle/burdockspindle/topo"

// Roles reports which node holds a role, as far as this node knows. The membership
// module provides it.
type Roles interface {
	// Holds reports whether this node holds the role now.
	Holds(role Role) bool
	// Candidates lists the nodes in their order of precedence for the role, without
	// those known to be unable.
	Candidates(role Role) []topo.NodeID
	// Unable reports whether a node is known to be unresponsive or draining.
	Unable(id topo.NodeID) bool
}
