// Package shed rejects requests to a service early while most of them would fail
// because a service that they call refuses calls: such requests would only occupy
// server slots and queues. The decision is pure: time is an argument.
package shed

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock/window"
)

// Thresholds of the decision. A rate is the number of refused calls per request
// of the calling services. Shedding starts at a rate of one half, because below
// it shedding requests regardless of their calls would fail more of them than it
// saves.
const (
	engageRate  = 0.50 // shedding of dependants starts at this rate
	releaseRate = 0.30 // shedding ends after the rate was below this for holdTime
	fullRate    = 0.95 // the shed share reaches its maximum at this rate
	maxShare    = 0.90 // maximum share; the remaining requests detect the recovery
	holdTime    = time.Second
	// minRequests is the number of requests in the window below which the rate
	// is 0.
	minRequests = 20
	// The window over which rates are computed.
	windowSlots = 5
	slotTime    = 500 * time.Millisecond
)

// Monitor counts, for one service, the recent requests of the services that
// depend on it and the calls from other services that it refused, and records
// whether its dependants are shed. The zero value is ready to use. It is not safe
// for concurrent use.
type Monitor struct {
	recent   *window.Sliding[counts] // nil: nothing was counted
	engaged  bool
	lowSince time.Time // start of the current period below releaseRate while engaged; else zero
}

type counts struct {
	requests float64
	refused  float64
}

// Request counts a request to a service that depends on this one. Shed requests
// must not be counted, because they made no call.
func (m *Monitor) Request(now time.Time) { m.countsAt(now).requests++ }

// Refused counts a call from another service that was refused because the service
// was overloaded or none of its servers was reachable.
func (m *Monitor) Refused(now time.Time) { m.countsAt(now).refused++ }

func (m *Monitor) countsAt(now time.Time) *counts {
	if m.recent == nil {
		m.recent = window.New[counts](windowSlots, slotTime)
	}
	return m.recent.At(now)
}

// Rate returns the fraction of the dependants' requests within the window that
// had a call refused, or 0 if there are fewer than minRequests. It is an estimate,
// capped at 1, because a call may be refused at another node than the one that
// accepted the request.
func (m *Monitor) Rate(now time.Time) float64 {
	if m.recent == nil {
		return 0
	}
	var requests, refused float64
	for slot := range m.recent.Latest(windowSlots, now) {
		requests += slot.requests
		refused += slot.refused
	}
	if requests < minRequests {
		return 0
	}
	return min(refused/requests, 1)
}

// Share returns the fraction of the dependants' requests to refuse now.
func (m *Monitor) Share(now time.Time) float64 {
	rate := m.Rate(now)
	switch {
	case rate >= engageRate:
		m.engaged = true
		m.lowSince = time.Time{}
	case m.engaged && rate < releaseRate:
		m.releaseIfLow(now)
	default:
		m.lowSince = time.Time{}
	}
	if !m.engaged {
		return 0
	}
	return ShareAt(rate)
}

func (m *Monitor) releaseIfLow(now time.Time) {
	if m.lowSince.IsZero() {
		m.lowSince = now
	}
	if now.Sub(m.lowSince) >= holdTime {
		m.engaged = false
		m.lowSince = time.Time{}
	}
}

// ShareAt returns the fraction to refuse at a rate while shedding is engaged. It
// grows linearly from 0 at releaseRate to maxShare at fullRate.
func ShareAt(rate float64) float64 {
	fraction := (rate - releaseRate) / (fullRate - releaseRate)
	return min(max(fraction, 0), 1) * maxShare
}
