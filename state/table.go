package state

import (
	"maps"
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// pageShards is the number of hash ranges that are copied together when one
// of them changes.
const pageShards = 128

// shardPage holds neighbouring hash ranges.
type shardPage [pageShards]Assignment

// shardTable contains one service's assignments. Once a View references it, it
// is replaced, never modified; unchanged pages are shared between tables.
type shardTable struct {
	count    uint32 // hash ranges
	pages    []*shardPage
	keys     map[string]Assignment // split keys
	owned    int                   // hash ranges and split keys with an owner
	byServer map[topo.ServerID]serverShards
}

// newShardTable returns a table of a service's hash ranges, all without owner.
func newShardTable(service topo.Service, count uint32) *shardTable {
	table := &shardTable{count: count, keys: map[string]Assignment{}, byServer: map[topo.ServerID]serverShards{}}
	for first := uint32(0); first < count; first += pageShards {
		page := &shardPage{}
		for i := range min(pageShards, count-first) {
			page[i].Shard = topo.ShardID{Service: service, Index: first + i}
		}
		table.pages = append(table.pages, page)
	}
	return table
}

// at returns the assignment of a hash range; index must be below count.
func (t *shardTable) at(index uint32) *Assignment {
	return &t.pages[index/pageShards][index%pageShards]
}

// get returns the assignment of exactly this shard.
func (t *shardTable) get(id topo.ShardID) (Assignment, bool) {
	if id.Key != "" {
		split, exists := t.keys[id.Key]
		return split, exists
	}
	if id.Index >= t.count {
		return Assignment{}, false
	}
	return *t.at(id.Index), true
}

// tableEdit is a table that may be modified until the next View is taken. The
// fresh parts are copies that no View references.
type tableEdit struct {
	table         *shardTable
	freshPages    []bool // by page number
	freshKeys     bool
	freshByServer bool                   // the map of lists by server
	freshLists    map[topo.ServerID]bool // the lists of each server
}

func editTable(original *shardTable) *tableEdit {
	clone := &shardTable{
		count:    original.count,
		pages:    slices.Clone(original.pages),
		keys:     original.keys,
		owned:    original.owned,
		byServer: original.byServer,
	}
	return &tableEdit{table: clone, freshPages: make([]bool, len(clone.pages))}
}

// set replaces one assignment; the hash range must exist.
func (e *tableEdit) set(a Assignment) {
	old, _ := e.table.get(a.Shard)
	e.table.owned += ownedCount(a) - ownedCount(old)
	e.updateServerShards(old, a)
	if a.Shard.Key != "" {
		e.writableKeys()[a.Shard.Key] = a
		return
	}
	number := a.Shard.Index / pageShards
	if !e.freshPages[number] {
		clone := *e.table.pages[number]
		e.table.pages[number] = &clone
		e.freshPages[number] = true
	}
	*e.table.at(a.Shard.Index) = a
}

// removeKey removes a split key.
func (e *tableEdit) removeKey(key string) {
	old := e.table.keys[key]
	e.table.owned -= ownedCount(old)
	e.updateServerShards(old, Assignment{})
	delete(e.writableKeys(), key)
}

func ownedCount(a Assignment) int {
	if a.Owner == "" {
		return 0
	}
	return 1
}

func (e *tableEdit) writableKeys() map[string]Assignment {
	if !e.freshKeys {
		e.table.keys = maps.Clone(e.table.keys)
		e.freshKeys = true
	}
	return e.table.keys
}
