// Package pick is the interface of the policies that choose a server for a
// request to a service that is not divided by key. Policies are modules of the
// namespace "pick" that provide a Picker; the built-in one is DChoices.
package pick

import "github.com/burdockspindle/burdockspindle/topo"

// Candidate is one live server.
type Candidate struct {
	Server topo.ServerID
	Group  topo.GroupID
	Zone   topo.Zone
	Lessor topo.NodeID
	Local  bool // this node is its admission point, so Load is exact
	// Load is requests in flight and waiting over how many the server may hold
	// now, as this node knows them: exactly when Local, else its own requests
	// and what the admission point last said.
	Load float64
	// Weight is the share of its usual load that the server may take, by what
	// was observed of it: 0 while it is taken out.
	Weight float64
}

// Picker chooses one candidate. Pick is called on the request's path,
// concurrently, and must not keep the slice. uniform returns random numbers in
// [0,1).
type Picker interface {
	// Pick returns the index of the chosen candidate, or false when it chooses
	// none. There is at least one candidate.
	Pick(candidates []Candidate, uniform func() float64) (int, bool)
}

// DChoices draws D candidates at random, each in proportion to its weight, and
// takes the one with the lowest load. With D = 2 it is the power of two choices.
type DChoices struct{ D int }

// Pick implements Picker. When every candidate's weight is 0, all count alike:
// a server taken out by mistake is better than none.
func (p DChoices) Pick(candidates []Candidate, uniform func() float64) (int, bool) {
	total := 0.0
	for i := range candidates {
		total += candidates[i].Weight
	}
	best := -1
	for range max(p.D, 1) {
		drawn := draw(candidates, total, uniform())
		if best < 0 || candidates[drawn].Load < candidates[best].Load {
			best = drawn
		}
	}
	return best, best >= 0
}

func draw(candidates []Candidate, total, uniform float64) int {
	if total <= 0 {
		return min(int(uniform*float64(len(candidates))), len(candidates)-1)
	}
	left := uniform * total
	for i := range candidates {
		left -= candidates[i].Weight
		if left < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
