// Package shed refuses requests to a service at once while most of them would
// fail because a service that they call refuses: they would only hold places
// and queues for nothing. The decision is pure.
package shed

import "time"

// Limits of the decision. Rates are refused calls for each request of the
// services that call. While fewer than half of the requests fail, refusing them
// all alike would lose more than it saves.
const (
	engageRate  = 0.50 // shedding of dependants begins
	releaseRate = 0.30 // and ends when the rate has stayed below this
	fullRate    = 0.95 // at which the most is shed
	mostShed    = 0.90 // some requests always pass, to see the recovery
	holdTime    = time.Second
	// minRequests is how many requests the rate must be taken from.
	minRequests = 20
	// The window over which rates are taken.
	windowSlots = 5
	slotTime    = 500 * time.Millisecond
)

// Monitor holds, for one service, the recent requests of the services that
// depend on it and the calls from other services that it refused, and whether
// its dependants are shed. The zero value is ready. It is not for concurrent
// use.
type Monitor struct {
	slots   [windowSlots]slot
	engaged bool
	lowFrom time.Time // since when the rate has been below releaseRate
}

type slot struct {
	index    int64
	requests float64
	refused  float64
}

// Request counts a request to a service that depends on this one. Requests that
// were shed must not be counted: they made no call.
func (m *Monitor) Request(now time.Time) { m.slot(now).requests++ }

// Refused counts a call from another service that was refused for lack of
// capacity, or because no server could be reached.
func (m *Monitor) Refused(now time.Time) { m.slot(now).refused++ }

func (m *Monitor) slot(now time.Time) *slot {
	index := now.UnixNano() / int64(slotTime)
	current := &m.slots[index%windowSlots]
	if current.index != index {
		*current = slot{index: index}
	}
	return current
}

// Rate is the share of the dependants' requests that had a call refused within
// the window; 0 while there are too few to tell. With calls refused by other
// nodes than those that took the requests it is an estimate, and at most 1.
func (m *Monitor) Rate(now time.Time) float64 {
	oldest := now.UnixNano()/int64(slotTime) - windowSlots
	var requests, refused float64
	for i := range m.slots {
		if m.slots[i].index > oldest {
			requests += m.slots[i].requests
			refused += m.slots[i].refused
		}
	}
	if requests < minRequests {
		return 0
	}
	return min(refused/requests, 1)
}

// Share is the share of the dependants' requests to refuse now.
func (m *Monitor) Share(now time.Time) float64 {
	rate := m.Rate(now)
	switch {
	case rate >= engageRate:
		m.engaged = true
		m.lowFrom = time.Time{}
	case m.engaged && rate < releaseRate:
		m.countLow(now)
	default:
		m.lowFrom = time.Time{}
	}
	if !m.engaged {
		return 0
	}
	return ShareAt(rate)
}

func (m *Monitor) countLow(now time.Time) {
	if m.lowFrom.IsZero() {
		m.lowFrom = now
	}
	if now.Sub(m.lowFrom) >= holdTime {
		m.engaged = false
		m.lowFrom = time.Time{}
	}
}

// ShareAt is the share to refuse at a rate, while engaged: it grows from the
// rate of release up to the most.
func ShareAt(rate float64) float64 {
	grown := (rate - releaseRate) / (fullRate - releaseRate)
	return min(max(grown, 0), 1) * mostShed
}
