// Package membership decides the membership of the site: which entry nodes watch
// each other, which node holds each role, which nodes are lost, and which phase
// each backend server is in according to the VM list and the server's own reports.
// The decisions are pure; modules/membership executes them. See
// docs/design/membership.md.
package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Role is a duty that one node performs for the whole site to save work. It is
// harmless if several nodes hold a role at the same time.
type Role string

// Roles.
const (
	RoleServers Role = "servers" // derives records from the VM list
	RolePlanner Role = "planner" // places shards and balances load
)

// watchedNodes is the number of predecessors on the ring that a node watches, and
// therefore also the number of nodes that watch it.
const watchedNodes = 3

// NodeRing is a hash ring of the site's nodes, sorted by a hash of their IDs. Each
// node watches its predecessors. A role is held by the first live node at or after
// the hash of the role.
type NodeRing struct {
	ids    []topo.NodeID
	hashes []uint64
}

// NewNodeRing returns the ring of a view's nodes. It allocates.
func NewNodeRing(nodes map[topo.NodeID]state.Node) NodeRing {
	r := NodeRing{ids: make([]topo.NodeID, 0, len(nodes))}
	for id := range nodes {
		r.ids = append(r.ids, id)
	}
	slices.SortFunc(r.ids, func(a, b topo.NodeID) int {
		if hashOf(string(a)) < hashOf(string(b)) {
			return -1
		}
		return 1
	})
	r.hashes = make([]uint64, len(r.ids))
	for i, id := range r.ids {
		r.hashes[i] = hashOf(string(id))
	}
	return r
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// Len returns the number of nodes.
func (r NodeRing) Len() int { return len(r.ids) }

// Before returns the n predecessors of a node, nearest first, without the node
// itself.
func (r NodeRing) Before(id topo.NodeID, n int) []topo.NodeID { return r.around(id, n, -1) }

// Watchers returns the nodes that watch a node, nearest first.
func (r NodeRing) Watchers(id topo.NodeID) []topo.NodeID { return r.around(id, watchedNodes, 1) }

func (r NodeRing) around(id topo.NodeID, n, step int) []topo.NodeID {
	at := slices.Index(r.ids, id)
	if at < 0 {
		return nil
	}
	n = min(n, len(r.ids)-1)
	found := make([]topo.NodeID, 0, max(n, 0))
	for range n {
		at = (at + step + len(r.ids)) % len(r.ids)
		found = append(found, r.ids[at])
	}
	return found
}

// Watched returns the nodes that a node watches: its three predecessors or, while
// all of those are unresponsive, twice as many, and so on. A node therefore always
// finds its nearest live predecessor, regardless of how many nodes were lost at
// once.
func (r NodeRing) Watched(id topo.NodeID, unresponsive func(topo.NodeID) bool) []topo.NodeID {
	n := watchedNodes
	for {
		watched := r.Before(id, n)
		if len(watched) < n || slices.ContainsFunc(watched, func(w topo.NodeID) bool { return !unresponsive(w) }) {
			return watched
		}
		n *= 2
	}
}

// Candidates returns all nodes in their order of precedence for a role.
func (r NodeRing) Candidates(role Role) []topo.NodeID {
	hash := hashOf(string(role))
	first := sort.Search(len(r.hashes), func(i int) bool { return r.hashes[i] >= hash })
	ordered := make([]topo.NodeID, 0, len(r.ids))
	ordered = append(ordered, r.ids[first:]...)
	return append(ordered, r.ids[:first]...)
}

// Holder returns the first candidate that is able to hold the role. A node knows
// only whether the nodes that it watches are unable, and treats all others as able.
// Two nodes may therefore both conclude that they hold a role, but the role does
// not remain without a holder for long.
func (r NodeRing) Holder(role Role, unable func(topo.NodeID) bool) topo.NodeID {
	for _, id := range r.Candidates(role) {
		if !unable(id) {
			return id
		}
	}
	return ""
}
