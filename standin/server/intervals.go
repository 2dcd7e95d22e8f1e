package server

import (
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// intervalKey identifies one of the intervals that a server may have open at the
// same time.
type intervalKey struct {
	shard  topo.ShardID
	fence  topo.Fence
	except string // the excepted keys joined
}

const exceptSeparator = "\x00"

// trackIntervals updates the open owner intervals after a change of the holder.
// The caller holds inc.mu.
func (inc *incarnation) trackIntervals(now time.Duration) {
	at := inc.sharedTime(now)
	owned := inc.owned()
	for key, open := range inc.intervals {
		if _, still := owned[key]; !still || open.Until <= at {
			inc.closeInterval(key, at)
		}
	}
	if !inc.holder.Valid(now) {
		return
	}
	// Adds 1 because the end is exclusive and the conversion between the clocks rounds
	// down.
	until := inc.sharedTime(inc.holder.Expires()) + 1
	for key, interval := range owned {
		if open, exists := inc.intervals[key]; exists {
			interval = open
		} else {
			interval.From = at
		}
		interval.Until = until
		inc.intervals[key] = interval
	}
}

// owned returns what the server owns while its lease is valid: its grants, and the
// keys of runs that were in flight when their shard was revoked.
func (inc *incarnation) owned() map[intervalKey]history.OwnerInterval {
	owned := map[intervalKey]history.OwnerInterval{}
	for _, granted := range inc.holder.Grants() {
		inc.addOwned(owned, granted.Shard, granted.Fence, granted.Except)
	}
	for _, orphan := range inc.holder.Orphans() {
		if orphan.Expired {
			continue
		}
		shard := orphan.Shard
		shard.Key = orphan.Key
		inc.addOwned(owned, shard, orphan.Fence, nil)
	}
	return owned
}

func (inc *incarnation) addOwned(
	owned map[intervalKey]history.OwnerInterval, shard topo.ShardID, fence topo.Fence, except []string,
) {
	key := intervalKey{shard: shard, fence: fence, except: strings.Join(except, exceptSeparator)}
	owned[key] = history.OwnerInterval{
		Server: inc.server.config.ID, Boot: inc.boot, Shard: shard, Fence: fence, Except: except,
	}
}

// closeIntervals closes all open intervals and ends them at the given time, unless
// they ended before.
func (inc *incarnation) closeIntervals(at history.Time) {
	for key := range inc.intervals {
		inc.closeInterval(key, at)
	}
}

func (inc *incarnation) closeInterval(key intervalKey, at history.Time) {
	open := inc.intervals[key]
	delete(inc.intervals, key)
	open.Until = min(open.Until, at)
	if open.Until > open.From {
		inc.server.config.Recorder.Record(open)
	}
}

// flushIntervals records the open intervals up to now and keeps their remainder
// open.
func (inc *incarnation) flushIntervals() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.ended {
		return
	}
	now := inc.server.config.Clock()
	remaining := map[intervalKey]history.OwnerInterval{}
	for key, open := range inc.intervals {
		if open.Until > now {
			after := open
			after.From = max(now, open.From)
			remaining[key] = after
		}
	}
	inc.closeIntervals(now)
	inc.intervals = remaining
}
