package state

import (
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// View is an immutable picture of the state after one record. All methods are
// safe for concurrent use and none allocates unless it says so.
type View struct {
	applied     topo.Offset
	siteVersion uint64
	siteText    []byte
	site        *siteconfig.Site
	tables      map[topo.Service]*shardTable
	servers     map[topo.ServerID]Server
	nodes       map[topo.NodeID]Node
	groups      map[topo.GroupID]Group
	lostServers map[topo.ServerID]bool
	lostNodes   map[topo.NodeID]bool
}

// shardTable is one service's assignments. It is replaced, never changed, once
// a View holds it.
type shardTable struct {
	shards []Assignment          // by shard index
	keys   map[string]Assignment // split keys
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

// Lookup returns the assignment that covers a key: the key's own if it was
// split out, else its hash range's. The second result is false when the service
// has no table.
func (v *View) Lookup(service topo.Service, key string) (Assignment, bool) {
	table, exists := v.tables[service]
	if !exists || len(table.shards) == 0 {
		return Assignment{}, false
	}
	if len(table.keys) > 0 {
		if split, isSplit := table.keys[key]; isSplit {
			return split, true
		}
	}
	index := topo.ShardIndex(key, uint32(len(table.shards)))
	return table.shards[index], true
}

// Shard returns one shard's assignment.
func (v *View) Shard(id topo.ShardID) (Assignment, bool) {
	table, exists := v.tables[id.Service]
	if !exists {
		return Assignment{}, false
	}
	if id.Key != "" {
		split, isSplit := table.keys[id.Key]
		return split, isSplit
	}
	if int(id.Index) >= len(table.shards) {
		return Assignment{}, false
	}
	return table.shards[id.Index], true
}

// EachShard calls visit for every hash range of a service in index order, then
// for its split keys in no order, until visit returns false.
func (v *View) EachShard(service topo.Service, visit func(Assignment) bool) {
	table, exists := v.tables[service]
	if !exists {
		return
	}
	for i := range table.shards {
		if !visit(table.shards[i]) {
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

// NodeLost reports whether a node is confirmed to be lost.
func (v *View) NodeLost(id topo.NodeID) bool { return v.lostNodes[id] }
