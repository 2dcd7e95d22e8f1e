package view

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// limitValidity is for how long other nodes are notified of an answer. The nodes that may send to a server
	// with a limit get a newer one more often, as long as there are requests.
	limitValidity = 15 * time.Second
	// absentLimitRetention is how long the limit of a server without an entry is kept: its entry may have
	// expired while the server runs on.
	absentLimitRetention = time.Minute
	// limitRefresh is by how much newer an answer must be that says the same, to replace the one
	// before: not every answer makes a new view, or is sent to other nodes.
	limitRefresh = 2 * time.Second
)

// Limits holds what the servers of the site say of the requests that they take. It is immutable.
type Limits struct {
	// Serial grows with each change.
	Serial   uint64
	byServer map[site.ServerID]site.NamedLimit
}

// Of returns the limit that a server names. isNamed is false if there is none.
func (l Limits) Of(id site.ServerID) (limit site.NamedLimit, isNamed bool) {
	limit = l.byServer[id]
	return limit, limit.IsNamed
}

// Valid returns what an answer has said lately, lifted limits included: other nodes may not know of that yet.
func (l Limits) Valid(now time.Time) map[site.ServerID]site.NamedLimit {
	valid := make(map[site.ServerID]site.NamedLimit, len(l.byServer))
	for id, limit := range l.byServer {
		if now.Sub(limit.At) < limitValidity {
			valid[id] = limit
		}
	}
	return valid
}

// Without returns what an answer has said lately of limits and differs from what another node knows.
func (l Limits) Without(known map[site.ServerID]site.NamedLimit, now time.Time) map[site.ServerID]site.NamedLimit {
	valid := l.Valid(now)
	maps.DeleteFunc(valid, func(id site.ServerID, limit site.NamedLimit) bool {
		other, isKnown := known[id]
		return isKnown && limit.Equals(other) && limit.At.Sub(other.At) < limitRefresh
	})
	return valid
}

// Rates returns the limits that an answer has named lately, in requests a second.
func (l Limits) Rates(now time.Time) map[site.ServerID]float64 {
	rates := map[site.ServerID]float64{}
	for id, limit := range l.Valid(now) {
		if limit.IsNamed {
			rates[id] = limit.Rate
		}
	}
	return rates
}

// LimitChange is a change of the limit of a server.
type LimitChange struct {
	Server        site.ServerID
	Before, After site.NamedLimit
	WasKnown      bool // Before is known
}

// MergeLimits applies the answers of servers that are newer than those known of them, and returns what
// has changed. Of servers that are not registered it applies none but to limits that are known already.
func (s *State) MergeLimits(limits map[site.ServerID]site.NamedLimit) []LimitChange {
	if !s.Now().needsLimits(limits) {
		return nil
	}
	var changes []LimitChange
	s.update(func(next *View) bool {
		changes = nil
		merged := maps.Clone(next.Limits.byServer)
		if merged == nil {
			merged = map[site.ServerID]site.NamedLimit{}
		}
		for id, limit := range limits {
			if !next.NeedsLimit(id, limit) {
				continue
			}
			before, wasKnown := merged[id]
			if !limit.Equals(before) {
				changes = append(changes, LimitChange{Server: id, Before: before, After: limit, WasKnown: wasKnown})
			}
			merged[id] = limit
		}
		next.dropLimits(merged)
		next.Limits = Limits{Serial: next.Limits.Serial + 1, byServer: merged}
		return true
	})
	return changes
}

// needsLimits reports whether one of the answers changes the view.
func (v *View) needsLimits(limits map[site.ServerID]site.NamedLimit) bool {
	for id, limit := range limits {
		if v.NeedsLimit(id, limit) {
			return true
		}
	}
	return false
}

// NeedsLimit reports whether an answer changes the view.
func (v *View) NeedsLimit(id site.ServerID, limit site.NamedLimit) bool {
	known, isKnown := v.Limits.byServer[id]
	if _, isRegistered := v.Servers.Servers[id]; !isRegistered && !isKnown {
		return false
	}
	switch {
	case !isKnown:
		return limit.IsNamed
	case limit.Equals(known):
		return limit.IsNamed && limit.At.Sub(known.At) >= limitRefresh
	}
	return limit.At.After(known.At)
}

// dropLimits removes the limits of servers that have long been without an entry, and lifted ones that all
// nodes know of.
func (v *View) dropLimits(limits map[site.ServerID]site.NamedLimit) {
	maps.DeleteFunc(limits, func(id site.ServerID, limit site.NamedLimit) bool {
		age := time.Since(limit.At)
		_, isRegistered := v.Servers.Servers[id]
		return !isRegistered && age >= absentLimitRetention || !limit.IsNamed && age >= limitValidity
	})
}
