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

// Times of silence after which a node is removed.
const (
	// RemoveNodeAfter applies when the list agrees: the VM is gone, leaving or
	// missing from it.
	RemoveNodeAfter = 10 * time.Second
	// RemoveLiveNodeAfter applies while the list shows the VM as live.
	RemoveLiveNodeAfter = 10 * time.Minute
)

// NodeChanges is what should be written to the log about nodes.
type NodeChanges struct {
	Remove []*bspb.RemoveNode
	// Lost lists runs, as node ID and boot ID joined by "@", that are confirmed to
	// be lost; only if the site trusts the list.
	Lost []string
}

// Empty reports whether there is nothing to write.
func (c *NodeChanges) Empty() bool { return len(c.Remove) == 0 && len(c.Lost) == 0 }

// DecideNodes decides about the nodes that this node watches. A node is removed
// only when all its watchers that answer agree that it is silent, at least one
// other among them if there is one, and the VM list agrees or the silence has
// lasted very long. Absence from the list alone removes nobody.
func DecideNodes(view *state.View, circle Circle, live *Liveness, o *Observed) NodeChanges {
	var changes NodeChanges
	o = o.current()
	for _, id := range live.AllSilent(o.Now) {
		node, exists := view.Node(id)
		if !exists || !agreed(circle, live, o, id) {
			continue
		}
		if !silentLongEnough(live, o, id) {
			continue
		}
		if trustsList(view) && o.Roster.Gone(string(id)) && !view.RunLost(id, node.Boot) {
			changes.Lost = append(changes.Lost, record.Writer(id, node.Boot))
		}
		changes.Remove = append(changes.Remove, &bspb.RemoveNode{Node: string(id), Boot: string(node.Boot)})
	}
	return changes
}

// agreed reports whether every watcher of a node that answers finds it silent,
// and at least one beside this node does, unless there is no other.
func agreed(circle Circle, live *Liveness, o *Observed, id topo.NodeID) bool {
	others := 0
	agreeing := 0
	for _, watcher := range circle.Watchers(id) {
		if watcher == o.Self {
			continue
		}
		others++
		answer, answered := live.Last(watcher)
		if !answered {
			continue
		}
		if !slices.Contains(answer.Silent, id) {
			return false
		}
		agreeing++
	}
	return agreeing > 0 || others == 0
}

func silentLongEnough(live *Liveness, o *Observed, id topo.NodeID) bool {
	silent := live.SilentFor(id, o.Now)
	if silent >= RemoveLiveNodeAfter {
		return true
	}
	if silent < RemoveNodeAfter {
		return false
	}
	row, listed := o.Roster.Row(string(id))
	if listed {
		return row.Phase != vmlist.PhaseLive
	}
	return o.Roster.AbsentFor(string(id)) >= RemoveNodeAfter
}

// Opinions returns the nodes that this node has to ask, beside those it
// watches: the other watchers of the nodes that it finds silent.
func Opinions(circle Circle, live *Liveness, self topo.NodeID, now time.Time) []topo.NodeID {
	var asked []topo.NodeID
	for _, id := range live.AllSilent(now) {
		for _, watcher := range circle.Watchers(id) {
			if watcher != self && !slices.Contains(asked, watcher) {
				asked = append(asked, watcher)
			}
		}
	}
	return asked
}
