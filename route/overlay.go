package route

import (
	"maps"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Activation records that a standby server became the owner of a shard without a
// record in the log, under the fence that the shard's assignment reserved for it.
type Activation struct {
	Shard topo.ShardID
	Fence topo.Fence
	Owner topo.ServerID
}

// Continuation records that a standby lessor took over a group without a record
// in the log, under the term that the group's claim reserved for it.
type Continuation struct {
	Group topo.GroupID
	Term  topo.Term
	Node  topo.NodeID
	Boot  topo.BootID
}

// Overlay is an immutable set of activations and continuations. An entry has an
// effect only while the view's fence or term is lower, so an entry that the log
// has superseded is ignored even before it is pruned. A nil Overlay and the zero
// Overlay are empty.
type Overlay struct {
	shards map[topo.ShardID]Activation
	groups map[topo.GroupID]Continuation
}

// owner returns the current owner and fence of a shard.
func (o *Overlay) owner(a state.Assignment) (topo.ServerID, topo.Fence) {
	if o == nil || len(o.shards) == 0 {
		return a.Owner, a.Fence
	}
	active, exists := o.shards[a.Shard]
	if !exists || !a.Fence.Less(active.Fence) {
		return a.Owner, a.Fence
	}
	return active.Owner, active.Fence
}

// lessor returns the group with its current lessor and term.
func (o *Overlay) lessor(g state.Group) state.Group {
	if o == nil || len(o.groups) == 0 {
		return g
	}
	active, exists := o.groups[g.ID]
	if !exists || !g.Term.Less(active.Term) {
		return g
	}
	g.Term = active.Term
	g.Lessor = active.Node
	g.LessorBoot = active.Boot
	return g
}

// Activate returns an overlay with the activation added. It returns the receiver
// if that has an activation of the shard with an equal or higher fence.
func (o *Overlay) Activate(a Activation) *Overlay {
	if o != nil {
		known, exists := o.shards[a.Shard]
		if exists && !known.Fence.Less(a.Fence) {
			return o
		}
	}
	next := o.clone()
	next.shards[a.Shard] = a
	return next
}

// Continue returns an overlay with the continuation added. It returns the receiver
// if that has a continuation of the group with an equal or higher term.
func (o *Overlay) Continue(c Continuation) *Overlay {
	if o != nil {
		known, exists := o.groups[c.Group]
		if exists && !known.Term.Less(c.Term) {
			return o
		}
	}
	next := o.clone()
	next.groups[c.Group] = c
	return next
}

// Prune returns the overlay without the entries that the view has superseded.
func (o *Overlay) Prune(view *state.View) *Overlay {
	if o.Len() == 0 {
		return o
	}
	next := o.clone()
	for shard, active := range o.shards {
		assignment, exists := view.Shard(shard)
		if !exists || !assignment.Fence.Less(active.Fence) {
			delete(next.shards, shard)
		}
	}
	for id, active := range o.groups {
		group, exists := view.Group(id)
		if !exists || !group.Term.Less(active.Term) {
			delete(next.groups, id)
		}
	}
	if next.Len() == o.Len() {
		return o
	}
	return next
}

// Len returns the number of entries.
func (o *Overlay) Len() int {
	if o == nil {
		return 0
	}
	return len(o.shards) + len(o.groups)
}

// Activations lists the activations in no particular order.
func (o *Overlay) Activations() []Activation {
	if o == nil {
		return nil
	}
	list := make([]Activation, 0, len(o.shards))
	for _, active := range o.shards {
		list = append(list, active)
	}
	return list
}

func (o *Overlay) clone() *Overlay {
	next := &Overlay{
		shards: map[topo.ShardID]Activation{},
		groups: map[topo.GroupID]Continuation{},
	}
	if o != nil {
		maps.Copy(next.shards, o.shards)
		maps.Copy(next.groups, o.groups)
	}
	return next
}
