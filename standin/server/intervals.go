package server

import (
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// intervalKey tells apart what a server may own at once.
type intervalKey struct {
	shard  topo.ShardID
	fence  topo.Fence
	except string // the excepted keys joined
}

const exceptSeparator = "\x00"

// trackIntervals brings the open owner intervals up to date after the holder
// changed. l.mu is held.
func (l *life) trackIntervals(now time.Duration) {
	moment := l.shared(now)
	owned := l.owned()
	for key, open := range l.intervals {
		if _, still := owned[key]; !still || open.Until <= moment {
			l.closeInterval(key, moment)
		}
	}
	if !l.holder.Valid(now) {
		return
	}
	// The end is exclusive, and the mapping between clocks rounds down.
	until := l.shared(l.holder.Expires()) + 1
	for key, interval := range owned {
		if open, exists := l.intervals[key]; exists {
			interval = open
		} else {
			interval.From = moment
		}
		interval.Until = until
		l.intervals[key] = interval
	}
}

// owned lists what the server owns while its lease is valid: its grants, and
// the keys of runs that were in flight when their shard was revoked.
func (l *life) owned() map[intervalKey]history.OwnerInterval {
	owned := map[intervalKey]history.OwnerInterval{}
	for _, granted := range l.holder.Grants() {
		l.addOwned(owned, granted.Shard, granted.Fence, granted.Except)
	}
	for _, orphan := range l.holder.Orphans() {
		if orphan.Lapsed {
			continue
		}
		shard := orphan.Shard
		shard.Key = orphan.Key
		l.addOwned(owned, shard, orphan.Fence, nil)
	}
	return owned
}

func (l *life) addOwned(
	owned map[intervalKey]history.OwnerInterval, shard topo.ShardID, fence topo.Fence, except []string,
) {
	key := intervalKey{shard: shard, fence: fence, except: strings.Join(except, exceptSeparator)}
	owned[key] = history.OwnerInterval{
		Server: l.server.config.ID, Boot: l.boot, Shard: shard, Fence: fence, Except: except,
	}
}

// closeIntervals ends all open intervals at a moment, if not before.
func (l *life) closeIntervals(moment history.Time) {
	for key := range l.intervals {
		l.closeInterval(key, moment)
	}
}

func (l *life) closeInterval(key intervalKey, moment history.Time) {
	open := l.intervals[key]
	delete(l.intervals, key)
	open.Until = min(open.Until, moment)
	if open.Until > open.From {
		l.server.config.Recorder.Record(open)
	}
}

// flush records the open intervals up to now and goes on with the rest.
func (l *life) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return
	}
	now := l.server.config.Clock()
	rest := map[intervalKey]history.OwnerInterval{}
	for key, open := range l.intervals {
		if open.Until > now {
			after := open
			after.From = max(now, open.From)
			rest[key] = after
		}
	}
	l.closeIntervals(now)
	l.intervals = rest
}
