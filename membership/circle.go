// Package membership decides who belongs to the site: which entry nodes watch
// each other, which of them holds a duty that one node does for all, which
// nodes are gone, and what the VM list and the servers' own word together say
// of each backend server. The decisions are pure; modules/membership carries
// them out. See docs/design/membership.md.
package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Role names a duty that one node does for the whole site, for economy: several
// at once do no harm.
type Role string

// Roles.
const (
	RoleServers Role = "servers" // translates the VM list into records
	RolePlanner Role = "planner" // places shards and balances load
)

// watchedNodes is how many nodes before it on the circle a node watches, and
// so by how many each is watched.
const watchedNodes = 3

// Circle is the site's nodes in the order of a hash of their IDs. Each node
// watches those before it; a role falls to the first live node from the role's
// own place on.
type Circle struct {
	ids    []topo.NodeID
	places []uint64
}

// NewCircle returns the circle of a view's nodes. It allocates.
func NewCircle(nodes map[topo.NodeID]state.Node) Circle {
	c := Circle{ids: make([]topo.NodeID, 0, len(nodes))}
	for id := range nodes {
		c.ids = append(c.ids, id)
	}
	slices.SortFunc(c.ids, func(a, b topo.NodeID) int {
		if placeOf(string(a)) < placeOf(string(b)) {
			return -1
		}
		return 1
	})
	c.places = make([]uint64, len(c.ids))
	for i, id := range c.ids {
		c.places[i] = placeOf(string(id))
	}
	return c
}

func placeOf(name string) uint64 { return xxhash.Sum64String(name) }

// Len returns the number of nodes.
func (c Circle) Len() int { return len(c.ids) }

// Before returns the n nodes before one, nearest first, without itself.
func (c Circle) Before(id topo.NodeID, n int) []topo.NodeID { return c.around(id, n, -1) }

// Watchers returns the nodes that watch one, nearest first.
func (c Circle) Watchers(id topo.NodeID) []topo.NodeID { return c.around(id, watchedNodes, 1) }

func (c Circle) around(id topo.NodeID, n, step int) []topo.NodeID {
	at := slices.Index(c.ids, id)
	if at < 0 {
		return nil
	}
	n = min(n, len(c.ids)-1)
	found := make([]topo.NodeID, 0, max(n, 0))
	for range n {
		at = (at + step + len(c.ids)) % len(c.ids)
		found = append(found, c.ids[at])
	}
	return found
}

// Watched returns the nodes that a node watches: the three before it or, while
// all of those are silent, twice as many, and so on. So a node learns in the
// end whether any before it lives, however many were lost together.
func (c Circle) Watched(id topo.NodeID, silent func(topo.NodeID) bool) []topo.NodeID {
	n := watchedNodes
	for {
		watched := c.Before(id, n)
		if len(watched) < n || slices.ContainsFunc(watched, func(w topo.NodeID) bool { return !silent(w) }) {
			return watched
		}
		n *= 2
	}
}

// Candidates returns all nodes in the order in which a role falls to them.
func (c Circle) Candidates(role Role) []topo.NodeID {
	place := placeOf(string(role))
	first := sort.Search(len(c.places), func(i int) bool { return c.places[i] >= place })
	ordered := make([]topo.NodeID, 0, len(c.ids))
	ordered = append(ordered, c.ids[first:]...)
	return append(ordered, c.ids[:first]...)
}

// Holder returns the first candidate that may hold the role. Each node knows
// that the ones it watches are unable; of the others it assumes the best, so
// that two nodes may both think that they hold a role but never none for long.
func (c Circle) Holder(role Role, unable func(topo.NodeID) bool) topo.NodeID {
	for _, id := range c.Candidates(role) {
		if !unable(id) {
			return id
		}
	}
	return ""
}
