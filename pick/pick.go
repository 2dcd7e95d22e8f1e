// Package pick defines the interface of the policies that choose a server for a
// request to an unkeyed service, and implements several of them. Policies are
// modules of the namespace "pick" that provide a Picker; the default is DChoices.
package pick

import "github.com/burdockspindle/burdockspindle/topo"

// Candidate is one live server.
type Candidate struct {
	Server topo.ServerID
	Group  topo.GroupID
	Zone   topo.Zone
	Lessor topo.NodeID
	Local  bool // this node is the server's admission point, so Load is exact
	// Load is the number of requests in flight and queued, divided by the
	// server's current limit. It is exact if Local; otherwise it is an estimate
	// from this node's own requests and the last report of the admission point.
	Load float64
	// Weight is the fraction of its usual load that the server may receive,
	// derived from the observed outcomes of requests: 0 while it is ejected.
	Weight float64
}

// Picker chooses one candidate. Pick is called concurrently on the request path
// and must not retain the slice. uniform returns random numbers in [0,1).
type Picker interface {
	// Pick returns the index of the chosen candidate, or false if it chooses
	// none. The slice has at least one candidate.
	Pick(candidates []Candidate, uniform func() float64) (int, bool)
}

// DChoices draws D candidates at random, with probabilities proportional to their
// weights, and picks the one with the lowest load. With D = 2 it is the power of
// two choices.
type DChoices struct{ D int }

// Pick implements Picker. If every candidate's weight is 0, all are equally
// likely, because a server that was ejected by mistake is better than none.
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
