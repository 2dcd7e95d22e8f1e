package membership

import "github.com/burdockspindle/burdockspindle/topo"

// Roles tells which node does a duty for the site, as far as this node knows.
// The membership module provides it.
type Roles interface {
	// Holds reports whether this node should do the duty now.
	Holds(role Role) bool
	// Candidates lists the nodes in the order in which the role falls to them,
	// without those known to be unable.
	Candidates(role Role) []topo.NodeID
	// Unable reports whether a node is known to be silent or draining.
	Unable(id topo.NodeID) bool
}
