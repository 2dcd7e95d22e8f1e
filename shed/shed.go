// Package shed refuses requests to a service at once while a service that it
// depends on refuses too much: the request would only wait for a part that is
// likely to fail, and add load where there is too much of it. The decision is
// pure.
package shed

import "time"

// Limits of the decision. Rates are shares of the requests to the dependency
// that were refused for lack of capacity.
const (
	engageRate  = 0.10 // shedding of dependants begins
	releaseRate = 0.03 // and ends when the rate has stayed below this
	fullRate    = 0.60 // at which the most is shed
	mostShed    = 0.90 // some requests always pass, to see the recovery
	holdTime    = time.Second
	// minRequests is how many requests the rate must be taken from.
	minRequests = 20
	// The window over which rates are taken.
	windowSlots = 5
	slotTime    = 500 * time.Millisecond
)

// Monitor holds the recent refusals of one service, and whether its dependants
// are shed. The zero value is ready. It is not for concurrent use.
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

// Add counts a request to the service; refused tells that it was refused for
// lack of capacity, or that no server could be reached. Requests that were shed
// because of a dependency must not be added: one overload would then spread
// from each service to the next with growing force.
func (m *Monitor) Add(now time.Time, refused bool) {
	index := now.UnixNano() / int64(slotTime)
	current := &m.slots[index%windowSlots]
	if current.index != index {
		*current = slot{index: index}
	}
	current.requests++
	if refused {
		current.refused++
	}
}

// Rate is the share of requests refused within the window; 0 while there are
// too few to tell.
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
	return refused / requests
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

// ShareAt is the share to refuse at a rate, while engaged: it grows in
// proportion up to the most.
func ShareAt(rate float64) float64 {
	return min(rate/fullRate, 1) * mostShed
}
