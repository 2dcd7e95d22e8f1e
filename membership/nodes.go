package membership

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Times without a response after which a node is removed.
const (
	// RemoveNodeAfter applies when the VM list agrees: the VM is gone, leaving or
	// missing from the list.
	RemoveNodeAfter = 10 * time.Second
	// RemoveLiveNodeAfter applies while the VM list shows the VM as live.
	RemoveLiveNodeAfter = 10 * time.Minute
)

// NodeChanges are the changes to nodes that should be written to the log.
type NodeChanges struct {
	Remove []*bspb.RemoveNode
	// Lost lists incarnations, as node ID and boot ID joined by "@", that are
	// confirmed to be lost. It is empty unless the site trusts the VM list.
	Lost []string
}

// Empty reports whether there are no changes.
func (c *NodeChanges) Empty() bool { return len(c.Remove) == 0 && len(c.Lost) == 0 }

// DecideNodes decides which of the nodes that this node watches are removed. A node
// is removed only if all its watchers that answer find it unresponsive, including
// at least one watcher other than this node if there is one, and either the VM list
// agrees or the node has been unresponsive for RemoveLiveNodeAfter. Absence from
// the list alone removes no node.
func DecideNodes(view *state.View, ring NodeRing, live *Liveness, o *Observed) NodeChanges {
	var changes NodeChanges
	o = o.current()
	for _, id := range live.AllUnresponsive(o.Now) {
		node, exists := view.Node(id)
		if !exists || !agreed(ring, live, o, id) {
			continue
		}
		if !unresponsiveLongEnough(live, o, id) {
			continue
		}
		if trustsList(view) && o.Roster.Gone(string(id)) && !view.IncarnationLost(id, node.Boot) {
			changes.Lost = append(changes.Lost, record.Writer(id, node.Boot))
		}
		changes.Remove = append(changes.Remove, &bspb.RemoveNode{Node: string(id), Boot: string(node.Boot)})
	}
	return changes
}

// agreed reports whether every watcher that answers finds a node unresponsive, and
// at least one watcher other than this node does, unless there is no other.
func agreed(ring NodeRing, live *Liveness, o *Observed, id topo.NodeID) bool {
	others := 0
	agreeing := 0
	for _, watcher := range ring.Watchers(id) {
		if watcher == o.Self {
			continue
		}
		others++
		answer, answered := live.Last(watcher)
		if !answered {
			continue
		}
		if !slices.Contains(answer.Unresponsive, id) {
			return false
		}
		agreeing++
	}
	return agreeing > 0 || others == 0
}

func unresponsiveLongEnough(live *Liveness, o *Observed, id topo.NodeID) bool {
	unresponsive := live.UnresponsiveFor(id, o.Now)
	if unresponsive >= RemoveLiveNodeAfter {
		return true
	}
	if unresponsive < RemoveNodeAfter {
		return false
	}
	row, listed := o.Roster.Row(string(id))
	if listed {
		return row.Phase != vmlist.PhaseLive
	}
	return o.Roster.AbsentFor(string(id)) >= RemoveNodeAfter
}

// OtherWatchers returns the nodes that this node has to call in addition to those
// it watches: the other watchers of the nodes that it finds unresponsive.
func OtherWatchers(ring NodeRing, live *Liveness, self topo.NodeID, now time.Time) []topo.NodeID {
	var asked []topo.NodeID
	for _, id := range live.AllUnresponsive(now) {
		for _, watcher := range ring.Watchers(id) {
			if watcher != self && !slices.Contains(asked, watcher) {
				asked = append(asked, watcher)
			}
		}
	}
	return asked
}
