package planner

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// FanIn is how many nodes report their load to one. With 9, 660 nodes are three
// steps below the planner.
const FanIn = 9

// Parents lists whom a node reports its load to, best first: the candidates of
// the planner's role form a heap of FanIn children each, and a node whose
// parent does not answer tries those further up. The first candidate, and a
// node that is none, has no parent.
func Parents(candidates []topo.NodeID, self topo.NodeID) []topo.NodeID {
	at := slices.Index(candidates, self)
	if at < 0 {
		return nil
	}
	var parents []topo.NodeID
	for at > 0 {
		at = (at - 1) / FanIn
		parents = append(parents, candidates[at])
	}
	return parents
}
