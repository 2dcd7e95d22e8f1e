package state

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// View is an immutable picture of the state after one record. All methods are
// safe for concurrent use and none allocates unless it says so.
type View struct {
	applied     topo.Offset
	lineage     topo.Offset
	siteVersion uint64
	siteText    []byte
	site        *siteconfig.Site
	tables      map[topo.Service]*shardTable
	retiring    map[topo.Service]*siteconfig.Service
	limits      map[topo.Service]pastLimits
	servers     map[topo.ServerID]Server
	nodes       map[topo.NodeID]Node
	groups      map[topo.GroupID]Group
	lostServers map[topo.ServerID]bool
	lostRuns    map[run]bool
}

// Applied returns the offset of the last record applied.
func (v *View) Applied() topo.Offset { return v.applied }

// Site returns the site configuration in force; nil before the first.
func (v *View) Site() *siteconfig.Site { return v.site }

// SiteVersion returns the version in force; 0 before the first.
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

// Retiring returns the services that left the site configuration while some of
// their shards had an owner, as last configured. Their shards keep being
// served until each is released by an assignment without an owner. The map
// must not be changed.
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

// DisconnectedLimit returns the longest MaxDisconnected by which a lessor of
// the group may go for a service: the value in force and every one that was in
// force since Group.HeldSince. A lessor that is cut off has not seen that a
// newer site configuration shortened it, so whoever takes over waits this long.
func (v *View) DisconnectedLimit(name topo.Service, group topo.GroupID) time.Duration {
	service, exists, _ := v.ActiveService(name)
	if !exists {
		return 0
	}
	return v.limits[name].longest(service.MaxDisconnected, v.groups[group].HeldSince)
}

// Tables returns the services that have shards, in no order.
func (v *View) Tables() []topo.Service {
	names := make([]topo.Service, 0, len(v.tables))
	for name := range v.tables {
		names = append(names, name)
	}
	return names
}

// ShardCount returns how many hash ranges a service has; 0 without a table.
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

// Servers returns all backend servers. The map must not be changed.
func (v *View) Servers() map[topo.ServerID]Server { return v.servers }

// Node returns one entry node.
func (v *View) Node(id topo.NodeID) (Node, bool) {
	node, exists := v.nodes[id]
	return node, exists
}

// Nodes returns all entry nodes. The map must not be changed.
func (v *View) Nodes() map[topo.NodeID]Node { return v.nodes }

// Group returns one lessor group.
func (v *View) Group(id topo.GroupID) (Group, bool) {
	group, exists := v.groups[id]
	return group, exists
}

// Groups returns all lessor groups. The map must not be changed.
func (v *View) Groups() map[topo.GroupID]Group { return v.groups }

// ServerLost reports whether a server is confirmed to be lost.
func (v *View) ServerLost(id topo.ServerID) bool { return v.lostServers[id] }

// NodeLost reports whether a node's current run, or the last one known, is
// confirmed to be lost.
func (v *View) NodeLost(id topo.NodeID) bool {
	if node, exists := v.nodes[id]; exists {
		return v.lostRuns[run{node: id, boot: node.Boot}]
	}
	for lost := range v.lostRuns {
		if lost.node == id {
			return true
		}
	}
	return false
}

// RunLost reports whether one run of a node is confirmed to be lost.
func (v *View) RunLost(id topo.NodeID, boot topo.BootID) bool {
	return v.lostRuns[run{node: id, boot: boot}]
}

// Lineage returns the offset of the last rebase; 0 when there was none.
func (v *View) Lineage() topo.Offset { return v.lineage }
