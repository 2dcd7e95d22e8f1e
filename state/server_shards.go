package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// serverShards lists the shards of one table whose assignments name a server.
// The lists are in order of hash range, then key. Once a View references them
// they are replaced, never modified.
type serverShards struct {
	owned   []topo.ShardID
	standby []topo.ShardID
}

func (n serverShards) empty() bool { return len(n.owned) == 0 && len(n.standby) == 0 }

// compareShardIDs orders shards of one service.
func compareShardIDs(a, b topo.ShardID) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Key, b.Key))
}

// updateServerShards keeps the lists consistent with the assignments when an
// assignment is replaced.
func (e *tableEdit) updateServerShards(old, next Assignment) {
	if old.Owner != next.Owner {
		e.editServerShards(old.Owner, func(n *serverShards) { n.owned = without(n.owned, old.Shard) })
		e.editServerShards(next.Owner, func(n *serverShards) { n.owned = with(n.owned, next.Shard) })
	}
	if old.Standby != next.Standby {
		e.editServerShards(old.Standby, func(n *serverShards) { n.standby = without(n.standby, old.Shard) })
		e.editServerShards(next.Standby, func(n *serverShards) { n.standby = with(n.standby, next.Shard) })
	}
}

// editServerShards modifies a server's lists, after copying those that a View
// may reference. The empty name means no server.
func (e *tableEdit) editServerShards(id topo.ServerID, change func(*serverShards)) {
	if id == "" {
		return
	}
	if !e.freshByServer {
		e.table.byServer = maps.Clone(e.table.byServer)
		e.freshByServer = true
		e.freshLists = map[topo.ServerID]bool{}
	}
	lists := e.table.byServer[id]
	if !e.freshLists[id] {
		lists.owned = slices.Clone(lists.owned)
		lists.standby = slices.Clone(lists.standby)
		e.freshLists[id] = true
	}
	change(&lists)
	if lists.empty() {
		delete(e.table.byServer, id)
		return
	}
	e.table.byServer[id] = lists
}

func with(list []topo.ShardID, id topo.ShardID) []topo.ShardID {
	at, found := slices.BinarySearchFunc(list, id, compareShardIDs)
	if found {
		return list
	}
	return slices.Insert(list, at, id)
}

// without returns nil instead of an empty list, so that states with the same
// content compare equal.
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
	return table.byServer[server].owned
}

// StandbyOf lists a service's shards for which a server is the standby, in the
// same order. The list must not be changed.
func (v *View) StandbyOf(service topo.Service, server topo.ServerID) []topo.ShardID {
	table, exists := v.tables[service]
	if !exists {
		return nil
	}
	return table.byServer[server].standby
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
