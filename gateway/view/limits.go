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
//
// What an incarnation of a server has said holds for the next one until that one has answered.
type Limits struct {
	// Serial grows with each change.
	Serial uint64
	byName map[site.ServerName]knownLimit
}

// knownLimit is the newest answer of a server.
type knownLimit struct {
	site.NamedLimit
	server  site.ServerID // incarnation that the answer is from
	service site.ServiceName
}

// Of returns the limit that a server of a service names, in this incarnation or an earlier one. isNamed is false if
// there is none.
func (l Limits) Of(service site.ServiceName, id site.ServerID) (limit site.NamedLimit, isNamed bool) {
	known := l.byName[id.Name()]
	return known.NamedLimit, known.IsNamed && known.service == service
}

// Valid returns what an answer of an incarnation has said lately, lifted limits included: other nodes may not know of
// that yet.
func (l Limits) Valid(now time.Time) map[site.ServerID]site.NamedLimit {
	valid := make(map[site.ServerID]site.NamedLimit, len(l.byName))
	for _, known := range l.byName {
		if now.Sub(known.At) < limitValidity {
			valid[known.server] = known.NamedLimit
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

// Rates returns the limits that an answer of an incarnation has named lately, in requests a second.
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
	Server        site.ServerID // incarnation that has answered
	Before, After site.NamedLimit
	ServerBefore  site.ServerID // incarnation that Before is from; empty: nothing was known
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
		merged := maps.Clone(next.Limits.byName)
		if merged == nil {
			merged = map[site.ServerName]knownLimit{}
		}
		for id, limit := range limits {
			if !next.NeedsLimit(id, limit) {
				continue
			}
			before := merged[id.Name()]
			if !limit.Equals(before.NamedLimit) || before.server != id {
				changes = append(changes, LimitChange{Server: id, Before: before.NamedLimit, After: limit, ServerBefore: before.server})
			}
			merged[id.Name()] = knownLimit{NamedLimit: limit, server: id, service: next.serviceOf(id, before.service)}
		}
		next.dropLimits(merged)
		next.Limits = Limits{Serial: next.Limits.Serial + 1, byName: merged}
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
	known, isKnown := v.Limits.byName[id.Name()]
	switch {
	case !isKnown:
		return limit.IsNamed && v.isNameRegistered(id)
	case !limit.At.After(known.At):
		return false
	case v.hasReplaced(known.server, id):
		return limit.IsNamed || known.IsNamed
	case limit.Equals(known.NamedLimit):
		return limit.IsNamed && limit.At.Sub(known.At) >= limitRefresh
	case !limit.IsNamed && v.hasReplaced(id, known.server) && !id.Start().After(known.server.Start()):
		return false // a late answer of an incarnation that has ended
	}
	return true
}

// hasReplaced reports whether an incarnation of a server is registered in place of another one.
func (v *View) hasReplaced(former, present site.ServerID) bool {
	if former == present {
		return false
	}
	_, isFormerRegistered := v.Servers.Servers[former]
	_, isPresentRegistered := v.Servers.Servers[present]
	return isPresentRegistered && !isFormerRegistered
}

// isNameRegistered reports whether an incarnation of a server is registered.
func (v *View) isNameRegistered(id site.ServerID) bool {
	_, isRegistered := v.incarnationOf(id)
	return isRegistered
}

// serviceOf returns the service of a server, or the one that was known before if the server is not registered.
func (v *View) serviceOf(id site.ServerID, before site.ServiceName) site.ServiceName {
	if server, isRegistered := v.incarnationOf(id); isRegistered {
		return server.Service
	}
	return before
}

// incarnationOf returns the registered incarnation of a server, which need not be the given one.
func (v *View) incarnationOf(id site.ServerID) (incarnation site.Server, isRegistered bool) {
	if server, isPresent := v.Servers.Servers[id]; isPresent {
		return server, true
	}
	for other, server := range v.Servers.Servers {
		if other.Name() == id.Name() {
			return server, true
		}
	}
	return site.Server{}, false
}

// dropLimits removes the limits of servers that have long been without an entry, and lifted ones that all
// nodes know of.
func (v *View) dropLimits(limits map[site.ServerName]knownLimit) {
	maps.DeleteFunc(limits, func(_ site.ServerName, known knownLimit) bool {
		age := time.Since(known.At)
		if !known.IsNamed {
			return age >= limitValidity
		}
		return age >= absentLimitRetention && !v.isNameRegistered(known.server)
	})
}
