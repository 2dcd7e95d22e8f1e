package lessor

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// AskedStandby is a standby lessor that a lessor has asked for disconnected mode, and the
// latest term of such a request. Only these standby lessors take over without the log,
// and only until they acknowledge connected mode again.
type AskedStandby struct {
	Run  Incarnation
	Term topo.Term
}

// maxAskedStandbys bounds the standby lessors that an incarnation remembers to
// have asked.
const maxAskedStandbys = 16

// askedStandbys lists the standby lessors that this incarnation has asked, the latest
// last, except those that have acknowledged connected mode since. It is never modified
// in place.
type askedStandbys struct {
	list []AskedStandby
	// isPartial is set if entries were dropped.
	isPartial bool
}

// with adds a standby lessor. Entries of terms before a settled one are dropped,
// because they no longer matter.
func (a askedStandbys) with(standby AskedStandby, settled topo.Term) askedStandbys {
	var next []AskedStandby
	for _, earlier := range a.list {
		if earlier.Run != standby.Run && !earlier.Term.Less(settled) {
			next = append(next, earlier)
		}
	}
	next = append(next, standby)
	if len(next) > maxAskedStandbys {
		return askedStandbys{list: next[1:], isPartial: true}
	}
	return askedStandbys{list: next, isPartial: a.isPartial}
}

// without removes a standby lessor that has acknowledged connected mode.
func (a askedStandbys) without(standby Incarnation) askedStandbys {
	matches := func(asked AskedStandby) bool { return asked.Run == standby }
	if !slices.ContainsFunc(a.list, matches) {
		return a
	}
	return askedStandbys{list: slices.DeleteFunc(slices.Clone(a.list), matches), isPartial: a.isPartial}
}

// wasAsked reports whether a standby lessor was asked in a term at or after an
// offset.
func wasAsked(list []AskedStandby, standby Incarnation, since topo.Offset) bool {
	return slices.ContainsFunc(list, func(a AskedStandby) bool { return a.Run == standby && a.Term.Offset >= since })
}
