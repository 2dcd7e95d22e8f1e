package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// HeldFor returns how long granted ranges may still be in force. After an outage of the store
// that can be longer than a hold.
func (alloc *Allocator) HeldFor(now time.Time) time.Duration {
	held := time.Duration(0)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			held = max(held, l.inForceUntil().Sub(now))
		}
	}
	return held
}

// UncertainFor returns how long a grant without a response may still be in force.
func (alloc *Allocator) UncertainFor(now time.Time) time.Duration {
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

// GrantInFlight reports whether a grant is in flight.
func (alloc *Allocator) GrantInFlight() bool {
	for _, leases := range alloc.leases {
		for _, l := range leases {
			if l.callInFlight && l.phase != releasing {
				return true
			}
		}
	}
	return false
}

// LimitUncertain limits how long uncertain grants of the previous lessor may be in force.
func (alloc *Allocator) LimitUncertain(uncertain time.Duration, now time.Time) {
	for _, leases := range alloc.leases {
		for _, l := range leases {
			l.limitPrevious(l.previousUntil, now.Add(uncertain))
		}
	}
}

// Unresponsive returns the number of registered servers that own ranges and do not respond, and
// the number of registered servers that own any. Servers that have left the registry are
// excluded, because they say nothing about this node: when they were included, after the
// loss of most owners each new lessor resigned before their holds had expired, and the next
// lessor waited for these holds from the start.
func (alloc *Allocator) Unresponsive(registered map[site.ServerID]site.Server) (unresponsive, owners int) {
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

// GrantAges summarizes the grants of a lessor.
type GrantAges struct {
	Ranges     int           // ranges with an owner
	Unanswered int           // ranges whose owner has not answered its latest grant
	Oldest     time.Duration // time since the oldest of the latest grants of the other ranges was sent
}

// Ages returns the ages of the grants in force.
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
