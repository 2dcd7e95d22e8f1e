package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Held returns for how long what was granted may still be in force. After an
// outage of the store that can be longer than a hold.
func (alloc *Allocator) Held(now time.Time) time.Duration {
	held := time.Duration(0)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			held = max(held, l.inForceUntil().Sub(now))
		}
	}
	return held
}

// Doubt returns for how long a grant that has no answer may still be in force.
func (alloc *Allocator) Doubt(now time.Time) time.Duration {
	uncertain := time.Duration(0)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			uncertain = max(uncertain, l.uncertainInForceUntil().Sub(now))
			if l.callInFlight {
				uncertain = max(uncertain, l.inForceUntil().Sub(now))
			}
		}
	}
	return uncertain
}

// Calling reports whether a grant is under way.
func (alloc *Allocator) Calling() bool {
	for _, leases := range alloc.leases {
		for _, l := range leases {
			if l.callInFlight && l.phase != releasing {
				return true
			}
		}
	}
	return false
}

// LimitDoubt tells that grants of the former lessor without an answer may be in
// force for no longer than doubt.
func (alloc *Allocator) LimitDoubt(uncertain time.Duration, now time.Time) {
	for _, leases := range alloc.leases {
		for _, l := range leases {
			l.limitPrevious(l.previousUntil, now.Add(uncertain))
		}
	}
}

// Silent returns the registered servers that own ranges and do not answer, and how
// many own any. Those that have left say nothing of this node: after the loss of
// most owners each new lessor gave the lease up before their holds had run out, and
// the next one waited for them anew.
func (alloc *Allocator) Silent(registered map[site.ServerID]site.Server) (unresponsive, owners int) {
	state := map[site.ServerID]bool{}
	for _, leases := range alloc.leases {
		for _, l := range leases {
			if _, isRegistered := registered[l.Server]; isRegistered {
				state[l.Server] = state[l.Server] || l.failures >= failuresToExpire
			}
		}
	}
	for _, isUnresponsive := range state {
		if isUnresponsive {
			unresponsive++
		}
	}
	return unresponsive, len(state)
}

// GrantAges sums up the grants of a lessor.
type GrantAges struct {
	Ranges     int           // that have an owner
	Unanswered int           // of these, whose owner has not answered its latest grant
	Oldest     time.Duration // since the latest grant of an owner that has answered was sent
}

// Ages returns how old the grants in force are.
func (alloc *Allocator) Ages(now time.Time) GrantAges {
	var ages GrantAges
	for _, leases := range alloc.leases {
		for _, l := range leases {
			if l.Server == "" {
				continue
			}
			ages.Ranges++
			if !l.confirmed || l.failures > 0 {
				ages.Unanswered++
				continue
			}
			ages.Oldest = max(ages.Oldest, now.Sub(l.sentAt))
		}
	}
	return ages
}
