package lessor

import "slices"

// unresponsiveRuns lists the incarnations of nodes that were found unresponsive and have
// not been observed since, the latest last. A node that names a standby lessor prefers
// nodes that are not listed, because with an unresponsive standby lessor the group's
// leases end when the log cannot be reached. The list is never modified in place.
type unresponsiveRuns []Incarnation

// maxUnresponsive bounds the list; the incarnation that was found unresponsive
// first is dropped.
const maxUnresponsive = 16

func (s unresponsiveRuns) with(run Incarnation) unresponsiveRuns {
	next := append(slices.Clone(s.without(run)), run)
	return next[max(0, len(next)-maxUnresponsive):]
}

func (s unresponsiveRuns) without(run Incarnation) unresponsiveRuns {
	if !slices.Contains(s, run) {
		return s
	}
	return slices.DeleteFunc(slices.Clone(s), func(r Incarnation) bool { return r == run })
}

// rank orders incarnations by preference: those that are not listed, then those
// that were found unresponsive longest ago.
func (s unresponsiveRuns) rank(run Incarnation) int { return 1 + slices.Index(s, run) }
