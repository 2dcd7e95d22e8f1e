package follow

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Bounds of the lines about broken entries.
const (
	// brokenLines bounds them in lines a second: a writer may change its entry with
	// each heartbeat, under many keys.
	brokenLines = 20
	// mostBroken bounds the entries that are remembered. Beyond it some are told
	// again.
	mostBroken = 10_000
	// shownKey bounds the bytes of a key in a line.
	shownKey = 64
)

// brokenLog tells of entries that name no server to use, once for each change.
type brokenLog struct {
	values map[site.ServerName]uint64 // hash of the broken entry
	second int64
	lines  int // in that second
}

// note counts and tells a broken entry, unless it is the same as before.
func (b *brokenLog) note(logger hclog.Logger, record store.Record, cause error, now time.Time) {
	name, value := site.ServerName(record.Key), xxhash.Sum64(record.Value)
	if known, exists := b.values[name]; exists && known == value {
		return
	}
	if b.values == nil || len(b.values) >= mostBroken {
		b.values = map[site.ServerName]uint64{}
	}
	b.values[name] = value
	brokenEntries.Add(1)
	if second := now.Unix(); second != b.second {
		b.second, b.lines = second, 0
	}
	b.lines++
	if b.lines > brokenLines {
		return // counted all the same
	}
	key := record.Key[:min(len(record.Key), shownKey)]
	eventBrokenEntry.Log(logger, "key", key, "offset", record.Offset, "bytes", len(record.Value), "cause", cause)
}

// forget takes that the entry is sound or gone.
func (b *brokenLog) forget(name site.ServerName) { delete(b.values, name) }

// keepOnly takes the keys that have an entry.
func (b *brokenLog) keepOnly(names map[site.ServerName]bool) {
	for name := range b.values {
		if !names[name] {
			delete(b.values, name)
		}
	}
}
