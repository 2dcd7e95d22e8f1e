package follow

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Limits for logging invalid entries.
const (
	// maxInvalidLinesPerSecond limits the log lines per second, because a writer may change
	// its entry with each heartbeat, under many keys.
	brokenLines = 20
	// maxInvalidEntries limits the number of remembered entries. Beyond it, some entries
	// are logged again.
	mostBroken = 10_000
	// maxLoggedKeyBytes limits the length of a key in a log line, in bytes.
	shownKey = 64
)

// invalidEntryLog logs entries from which no server can be read, once for each change.
type brokenLog struct {
	values map[site.ServerName]uint64 // hash of the invalid entry
	second int64
	lines  int // logged in that second
}

// note counts and logs an invalid entry, unless it is unchanged.
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
		return // the entry is counted, but not logged
	}
	key := record.Key[:min(len(record.Key), shownKey)]
	eventBrokenEntry.Log(logger, "key", key, "offset", record.Offset, "bytes", len(record.Value), "cause", cause)
}

// remove drops the record of an entry that is valid again or deleted.
func (b *brokenLog) forget(name site.ServerName) { delete(b.values, name) }

// retain drops the records of all keys that are not in names.
func (b *brokenLog) keepOnly(names map[site.ServerName]bool) {
	for name := range b.values {
		if !names[name] {
			delete(b.values, name)
		}
	}
}
