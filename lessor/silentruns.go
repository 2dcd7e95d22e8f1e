package lessor

import "slices"

// silentRuns lists the runs of nodes that were found silent and have not been heard
// since, the latest last. Whoever names a standby lessor prefers the others: with a
// silent one the group's leases end when the log cannot be reached. It is never
// changed in place.
type silentRuns []Run

// silentMost bounds the list; the run that was found silent first is dropped.
const silentMost = 16

func (s silentRuns) with(run Run) silentRuns {
	next := append(slices.Clone(s.without(run)), run)
	return next[max(0, len(next)-silentMost):]
}

func (s silentRuns) without(run Run) silentRuns {
	if !slices.Contains(s, run) {
		return s
	}
	return slices.DeleteFunc(slices.Clone(s), func(r Run) bool { return r == run })
}

// rank orders runs by how well they suit: those that are not silent, then those
// whose silence was noticed longest ago.
func (s silentRuns) rank(run Run) int { return 1 + slices.Index(s, run) }
