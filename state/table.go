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

// shardTable is one service's assignments. It is replaced, never changed, once
// a View holds it; pages that did not change are shared between tables.
type shardTable struct {
	count uint32 // hash ranges
	pages []*shardPage
	keys  map[string]Assignment // split keys
	owned int                   // hash ranges and split keys with an owner
	names map[topo.ServerID]names
}

// newShardTable returns a table of a service's unowned hash ranges.
func newShardTable(service topo.Service, count uint32) *shardTable {
	table := &shardTable{count: count, keys: map[string]Assignment{}, names: map[topo.ServerID]names{}}
	for first := uint32(0); first < count; first += pageShards {
		page := &shardPage{}
		for i := range min(pageShards, count-first) {
			page[i].Shard = topo.ShardID{Service: service, Index: first + i}
		}
		table.pages = append(table.pages, page)
	}
	return table
}

// at returns a hash range; index must be below count.
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

// tableEdit is a table that may be changed until the next View is taken.
type tableEdit struct {
	table      *shardTable
	freshPages []bool // pages that no View holds
	freshKeys  bool
	freshNames bool                   // the map
	freshLists map[topo.ServerID]bool // its lists
}

func editTable(original *shardTable) *tableEdit {
	clone := &shardTable{
		count: original.count,
		pages: slices.Clone(original.pages),
		keys:  original.keys,
		owned: original.owned,
		names: original.names,
	}
	return &tableEdit{table: clone, freshPages: make([]bool, len(clone.pages))}
}

// set replaces one assignment; the hash range must exist.
func (e *tableEdit) set(a Assignment) {
	old, _ := e.table.get(a.Shard)
	e.table.owned += ownedCount(a) - ownedCount(old)
	e.rename(old, a)
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
	e.rename(old, Assignment{})
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
