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
	maxInvalidLinesPerSecond = 20
	// maxInvalidEntries limits the number of remembered entries. Beyond it, some entries
	// are logged again.
	maxInvalidEntries = 10_000
	// maxLoggedKeyBytes limits the length of a key in a log line, in bytes.
	maxLoggedKeyBytes = 64
)

// invalidEntryLog logs entries from which no server can be read, once for each change.
type invalidEntryLog struct {
	values  map[site.ServerName]uint64 // hash of the invalid entry
	resetAt time.Time                  // when lines was last reset
	lines   int                        // logged since resetAt
}

// note counts and logs an invalid entry, unless it is unchanged.
func (l *invalidEntryLog) note(logger hclog.Logger, record store.Record, cause error, now time.Time) {
	name, value := site.ServerName(record.Key), xxhash.Sum64(record.Value)
	if known, exists := l.values[name]; exists && known == value {
		return
	}
	if l.values == nil || len(l.values) >= maxInvalidEntries {
		l.values = map[site.ServerName]uint64{}
	}
	l.values[name] = value
	invalidEntries.Add(1)
	if now.Sub(l.resetAt) >= time.Second {
		l.resetAt, l.lines = now, 0
	}
	l.lines++
	if l.lines > maxInvalidLinesPerSecond {
		return // the entry is counted, but not logged
	}
	key := record.Key[:min(len(record.Key), maxLoggedKeyBytes)]
	eventInvalidEntry.Log(logger, "key", key, "offset", record.Offset, "bytes", len(record.Value), "cause", cause)
}

// remove drops the record of an entry that is valid again or deleted.
func (l *invalidEntryLog) remove(name site.ServerName) { delete(l.values, name) }

// retain drops the records of all keys that are not in names.
func (l *invalidEntryLog) retain(names map[site.ServerName]bool) {
	for name := range l.values {
		if !names[name] {
			delete(l.values, name)
		}
	}
}
