package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// names lists the shards of one table whose assignments name a server. The
// lists are in order of hash range, then key, and are replaced, never changed,
// once a View holds them.
type names struct {
	owned   []topo.ShardID
	standby []topo.ShardID
}

func (n names) empty() bool { return len(n.owned) == 0 && len(n.standby) == 0 }

// compareShardIDs orders shards of one service.
func compareShardIDs(a, b topo.ShardID) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Key, b.Key))
}

// rename keeps the lists equal to the assignments when one is replaced.
func (e *tableEdit) rename(old, next Assignment) {
	if old.Owner != next.Owner {
		e.changeNames(old.Owner, func(n *names) { n.owned = without(n.owned, old.Shard) })
		e.changeNames(next.Owner, func(n *names) { n.owned = with(n.owned, next.Shard) })
	}
	if old.Standby != next.Standby {
		e.changeNames(old.Standby, func(n *names) { n.standby = without(n.standby, old.Shard) })
		e.changeNames(next.Standby, func(n *names) { n.standby = with(n.standby, next.Shard) })
	}
}

// changeNames changes a server's lists, after copying what a View may hold. The
// empty name stands for no server.
func (e *tableEdit) changeNames(id topo.ServerID, change func(*names)) {
	if id == "" {
		return
	}
	if !e.freshNames {
		e.table.names = maps.Clone(e.table.names)
		e.freshNames = true
		e.freshLists = map[topo.ServerID]bool{}
	}
	lists := e.table.names[id]
	if !e.freshLists[id] {
		lists.owned = slices.Clone(lists.owned)
		lists.standby = slices.Clone(lists.standby)
		e.freshLists[id] = true
	}
	change(&lists)
	if lists.empty() {
		delete(e.table.names, id)
		return
	}
	e.table.names[id] = lists
}

func with(list []topo.ShardID, id topo.ShardID) []topo.ShardID {
	at, found := slices.BinarySearchFunc(list, id, compareShardIDs)
	if found {
		return list
	}
	return slices.Insert(list, at, id)
}

// without returns nil for an empty list, so that equal states stay equal.
func without(list []topo.ShardID, id topo.ShardID) []topo.ShardID {
	at, found := slices.BinarySearchFunc(list, id, compareShardIDs)
	if !found {
		return list
	}
	if len(list) == 1 {
		return nil
	}
	return slices.Delete(list, at, at+1)
}

// OwnedBy lists a service's shards that a server owns, in order of hash range,
// then key. The list must not be changed.
func (v *View) OwnedBy(service topo.Service, server topo.ServerID) []topo.ShardID {
	table, exists := v.tables[service]
	if !exists {
		return nil
	}
	return table.names[server].owned
}

// StandbyOf lists a service's shards for which a server is the standby, in the
// same order. The list must not be changed.
func (v *View) StandbyOf(service topo.Service, server topo.ServerID) []topo.ShardID {
	table, exists := v.tables[service]
	if !exists {
		return nil
	}
	return table.names[server].standby
}

// EachSplit calls visit for every split key of a service, in no order.
func (v *View) EachSplit(service topo.Service, visit func(Assignment)) {
	table, exists := v.tables[service]
	if !exists {
		return
	}
	for _, split := range table.keys {
		visit(split)
	}
}
