package lessor

import "slices"

// unresponsiveRuns lists the runs of nodes that were found silent and have not been heard
// since, the latest last. Whoever names a standby lessor prefers the others: with a
// silent one the group's leases end when the log cannot be reached. It is never
// changed in place.
type unresponsiveRuns []Run

// maxUnresponsive bounds the list; the run that was found silent first is dropped.
const maxUnresponsive = 16

func (s unresponsiveRuns) with(run Run) unresponsiveRuns {
	next := append(slices.Clone(s.without(run)), run)
	return next[max(0, len(next)-maxUnresponsive):]
}

func (s unresponsiveRuns) without(run Run) unresponsiveRuns {
	if !slices.Contains(s, run) {
		return s
	}
	return slices.DeleteFunc(slices.Clone(s), func(r Run) bool { return r == run })
}

// rank orders runs by how well they suit: those that are not silent, then those
// whose silence was noticed longest ago.
func (s unresponsiveRuns) rank(run Run) int { return 1 + slices.Index(s, run) }
