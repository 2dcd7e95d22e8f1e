package state

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// maxPastLimits limits the history of one service. When it is full, the two
// oldest entries are merged into one that is at least as long as both.
const maxPastLimits = 8

// pastLimit is a MaxDisconnected that was in force until a record. A lessor
// that was disconnected before that record may still use it, so a lower value
// in a newer site configuration does not shorten the wait of a lessor that takes
// over from it.
type pastLimit struct {
	until topo.Offset
	limit time.Duration
}

// pastLimits is one service's history: until ascending, limit descending.
type pastLimits []pastLimit

// replaced returns the history after limit was replaced by the record at
// offset. The receiver is not modified, because Views may reference it.
func (p pastLimits) replaced(limit time.Duration, offset topo.Offset) pastLimits {
	var kept pastLimits
	for _, past := range p {
		if isLonger(past.limit, limit) {
			kept = append(kept, past)
		}
	}
	kept = append(kept, pastLimit{until: offset, limit: limit})
	if len(kept) > maxPastLimits {
		kept[1].limit = siteconfig.LongerDisconnected(kept[0].limit, kept[1].limit)
		kept = kept[1:]
	}
	return kept
}

// longest returns the longest of current and the limits in force after since.
func (p pastLimits) longest(current time.Duration, since topo.Offset) time.Duration {
	for _, past := range p {
		if past.until > since {
			current = siteconfig.LongerDisconnected(current, past.limit)
		}
	}
	return current
}

// isLonger reports whether a is strictly longer than b.
func isLonger(a, b time.Duration) bool {
	return a != b && siteconfig.LongerDisconnected(a, b) == a
}
