package histcheck

import (
	"fmt"
	"slices"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// shardFence identifies one fence of one shard.
type shardFence struct {
	shard topo.ShardID
	fence topo.Fence
}

// Assignments finds fences that were assigned to two owners, and acknowledged
// assignments that a settled node never received, directly or through a later
// assignment of the same shard.
func Assignments(events []history.Event, options Options) []Violation {
	known := history.Select[history.AssignmentKnown](events)
	found := ambiguousFences(known)
	latest := latestKnown(known)
	for _, acknowledged := range known {
		if !options.mustKnow(acknowledged) {
			continue
		}
		for _, node := range options.Settled {
			fence := latest[node][acknowledged.Shard]
			if !fence.Less(acknowledged.Fence) {
				continue
			}
			found = append(found, Violation{
				Rule:    RuleAssignments,
				At:      acknowledged.At,
				Subject: acknowledged.Shard.String(),
				Detail: fmt.Sprintf("%s acknowledged %s for %s, but %s knows only %s",
					acknowledged.Node, acknowledged.Fence, acknowledged.Owner, node, fence),
			})
		}
	}
	return found
}

func ambiguousFences(known []history.AssignmentKnown) []Violation {
	owners := map[shardFence]history.AssignmentKnown{}
	var found []Violation
	for _, assignment := range known {
		name := shardFence{assignment.Shard, assignment.Fence}
		first, seen := owners[name]
		if !seen {
			owners[name] = assignment
			continue
		}
		if first.Owner != assignment.Owner {
			found = append(found, Violation{
				Rule:    RuleAssignments,
				At:      assignment.At,
				Subject: assignment.Shard.String(),
				Detail: fmt.Sprintf("fence %s belongs to %s at %s and to %s at %s",
					assignment.Fence, first.Owner, first.Node, assignment.Owner, assignment.Node),
			})
		}
	}
	return found
}

// latestKnown returns the highest fence of each shard that each node applied.
func latestKnown(known []history.AssignmentKnown) map[topo.NodeID]map[topo.ShardID]topo.Fence {
	latest := map[topo.NodeID]map[topo.ShardID]topo.Fence{}
	for _, assignment := range known {
		if latest[assignment.Node] == nil {
			latest[assignment.Node] = map[topo.ShardID]topo.Fence{}
		}
		fences := latest[assignment.Node]
		fences[assignment.Shard] = slices.MaxFunc([]topo.Fence{fences[assignment.Shard], assignment.Fence},
			func(a, b topo.Fence) int { return a.Compare(b.Ordinal) })
	}
	return latest
}
