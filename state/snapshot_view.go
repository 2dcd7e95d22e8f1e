package state

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// View is an immutable snapshot of the state after one record. All methods are
// safe for concurrent use, and none allocates unless its comment says so.
type View struct {
	applied          topo.Offset
	lineage          topo.Offset
	siteVersion      uint64
	siteText         []byte
	site             *siteconfig.Site
	tables           map[topo.Service]*shardTable
	retiring         map[topo.Service]*siteconfig.Service
	limits           map[topo.Service]pastLimits
	servers          map[topo.ServerID]Server
	nodes            map[topo.NodeID]Node
	groups           map[topo.GroupID]Group
	lostServers      map[topo.ServerID]bool
	lostIncarnations map[incarnation]bool
}

// Applied returns the offset of the last record applied.
func (v *View) Applied() topo.Offset { return v.applied }

// Site returns the site configuration in force; nil before the first.
func (v *View) Site() *siteconfig.Site { return v.site }

// SiteVersion returns the version of the site configuration in force; 0 before
// the first.
func (v *View) SiteVersion() uint64 { return v.siteVersion }

// SiteText returns the operator's text of the version in force.
func (v *View) SiteText() []byte { return v.siteText }

// Service returns a service of the site configuration in force.
func (v *View) Service(name topo.Service) (*siteconfig.Service, bool) {
	if v.site == nil {
		return nil, false
	}
	service, exists := v.site.Services[name]
	return service, exists
}

// Retiring returns, as last configured, the services that were removed from the
// site configuration while some of their shards had an owner. Their shards are
// served until each is released by an assignment without an owner. The map must
// not be modified.
func (v *View) Retiring() map[topo.Service]*siteconfig.Service { return v.retiring }

// ActiveService returns a service of the site configuration in force or, if it
// is retiring, as last configured. The last result is true when it is retiring.
func (v *View) ActiveService(name topo.Service) (service *siteconfig.Service, exists, retiring bool) {
	if service, exists = v.Service(name); exists {
		return service, true, false
	}
	service, retiring = v.retiring[name]
	return service, retiring, retiring
}

// DisconnectedLimit returns the longest MaxDisconnected that a lessor of
// the group may use for a service: the maximum of the value in force and every
// value in force since Group.EarliestActiveTerm. A disconnected lessor has not received
// the newer site configuration that shortened it, so a lessor that takes over
// waits this long.
func (v *View) DisconnectedLimit(name topo.Service, group topo.GroupID) time.Duration {
	service, exists, _ := v.ActiveService(name)
	if !exists {
		return 0
	}
	return v.limits[name].longest(service.MaxDisconnected, v.groups[group].EarliestActiveTerm)
}

// Tables returns the services that have shards, in no order.
func (v *View) Tables() []topo.Service {
	names := make([]topo.Service, 0, len(v.tables))
	for name := range v.tables {
		names = append(names, name)
	}
	return names
}

// ShardCount returns the number of hash ranges of a service; 0 without a table.
func (v *View) ShardCount(name topo.Service) uint32 {
	table, exists := v.tables[name]
	if !exists {
		return 0
	}
	return table.count
}

// Lookup returns the assignment that covers a key: the key's own if it was
// split out, else its hash range's. The second result is false when the service
// has no table.
func (v *View) Lookup(service topo.Service, key string) (Assignment, bool) {
	table, exists := v.tables[service]
	if !exists || table.count == 0 {
		return Assignment{}, false
	}
	if len(table.keys) > 0 {
		if split, isSplit := table.keys[key]; isSplit {
			return split, true
		}
	}
	return *table.at(topo.ShardIndex(key, table.count)), true
}

// Shard returns one shard's assignment.
func (v *View) Shard(id topo.ShardID) (Assignment, bool) {
	table, exists := v.tables[id.Service]
	if !exists {
		return Assignment{}, false
	}
	return table.get(id)
}

// EachShard calls visit for every hash range of a service in index order, then
// for its split keys in no order, until visit returns false.
func (v *View) EachShard(service topo.Service, visit func(Assignment) bool) {
	table, exists := v.tables[service]
	if !exists {
		return
	}
	for index := range table.count {
		if !visit(*table.at(index)) {
			return
		}
	}
	for _, split := range table.keys {
		if !visit(split) {
			return
		}
	}
}

// Server returns one backend server.
func (v *View) Server(id topo.ServerID) (Server, bool) {
	server, exists := v.servers[id]
	return server, exists
}

// Servers returns all backend servers. The map must not be modified.
func (v *View) Servers() map[topo.ServerID]Server { return v.servers }

// Node returns one entry node.
func (v *View) Node(id topo.NodeID) (Node, bool) {
	node, exists := v.nodes[id]
	return node, exists
}

// Nodes returns all entry nodes. The map must not be modified.
func (v *View) Nodes() map[topo.NodeID]Node { return v.nodes }

// Group returns one lessor group.
func (v *View) Group(id topo.GroupID) (Group, bool) {
	group, exists := v.groups[id]
	return group, exists
}

// Groups returns all lessor groups. The map must not be modified.
func (v *View) Groups() map[topo.GroupID]Group { return v.groups }

// ServerLost reports whether a server is confirmed to be lost.
func (v *View) ServerLost(id topo.ServerID) bool { return v.lostServers[id] }

// NodeLost reports whether a node's current incarnation is confirmed to be lost
// or, for a removed node, any known incarnation.
func (v *View) NodeLost(id topo.NodeID) bool {
	if node, exists := v.nodes[id]; exists {
		return v.lostIncarnations[incarnation{node: id, boot: node.Boot}]
	}
	for lost := range v.lostIncarnations {
		if lost.node == id {
			return true
		}
	}
	return false
}

// IncarnationLost reports whether one incarnation of a node is confirmed to be lost.
func (v *View) IncarnationLost(id topo.NodeID, boot topo.BootID) bool {
	return v.lostIncarnations[incarnation{node: id, boot: boot}]
}

// Lineage returns the offset of the last rebase; 0 when there was none.
func (v *View) Lineage() topo.Offset { return v.lineage }
