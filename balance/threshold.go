package balance

import "sort"

// Push relieves every overloaded server: it moves the server's best candidates
// to the coldest servers at or below the low threshold, until the server is no
// longer overloaded. It uses the loads of all servers.
//
// The two thresholds and the names push and pull are from "On a Class of Push
// and Pull Strategies with Single Migrations and Limited Probe Rate".
type Push struct {
	// Tuning replaces the defaults of the input's weighting when not nil.
	Tuning *Tuning
}

// Pull fills every underloaded server: it takes the best candidates of the
// hottest overloaded servers, until the server is no longer underloaded. It uses
// the loads of all servers. See Push for the source of the algorithm.
type Pull struct {
	// Tuning replaces the defaults of the input's weighting when not nil.
	Tuning *Tuning
}

// Name implements Policy.
func (Push) Name() string { return "push" }

// Name implements Policy.
func (Pull) Name() string { return "pull" }

// Decide implements Policy.
func (p Push) Decide(in *Input) []Move {
	b := newBalancer(in, tuningFor(in, p.Tuning))
	b.mandatoryMoves()
	in.Probed = 0
	for _, from := range b.byUtilization(b.overloaded, true) {
		for b.movesLeft() && b.overloaded(from) && b.pushOne(from) {
		}
	}
	return b.moves
}

// pushOne moves the best candidate to the coldest other server if that server is
// underloaded. It reports whether a move was made.
func (b *balancer) pushOne(from int) bool {
	to := b.coldest(0, from)
	if to == NoOwner || !b.underloaded(to) {
		return false
	}
	return b.moveBest(from, to)
}

// Decide implements Policy.
func (p Pull) Decide(in *Input) []Move {
	b := newBalancer(in, tuningFor(in, p.Tuning))
	b.mandatoryMoves()
	in.Probed = 0
	for _, to := range b.byUtilization(b.underloaded, false) {
		for b.movesLeft() && b.underloaded(to) && b.pullOne(to) {
		}
	}
	return b.moves
}

// pullOne takes one candidate from the hottest overloaded server that has one
// worth a move. It reports whether a move was made.
func (b *balancer) pullOne(to int) bool {
	for _, from := range b.byUtilization(b.overloaded, true) {
		if b.moveBest(from, to) {
			return true
		}
	}
	return false
}

// moveBest moves the best candidate between two servers and counts the pair in
// Input.Probed. It reports whether a candidate was worth a move.
func (b *balancer) moveBest(from, to int) bool {
	b.in.Probed++
	best, found := b.bestCandidate(from, to)
	if !found {
		return false
	}
	b.moveCandidate(best, to)
	return true
}

func tuningFor(in *Input, override *Tuning) Tuning {
	if override != nil {
		return *override
	}
	return DefaultTuning(in.Weighting)
}

// overloaded reports whether a live server is above the high threshold.
func (b *balancer) overloaded(server int) bool {
	if !b.live(server) {
		return false
	}
	utilization := b.utilization(server)
	return utilization > b.tuning.High*b.meanUtilization && utilization > b.tuning.Floor
}

// underloaded reports whether a live server is at or below the low threshold.
func (b *balancer) underloaded(server int) bool {
	return b.canReceive(server) && b.utilization(server) <= b.tuning.Low*b.meanUtilization
}

// byUtilization lists the servers that satisfy keep, sorted by utilization.
func (b *balancer) byUtilization(keep func(int) bool, descending bool) []int {
	var list []int
	for i := range b.in.Servers {
		if keep(i) {
			list = append(list, i)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		if descending {
			i, j = j, i
		}
		return b.utilization(list[i]) < b.utilization(list[j])
	})
	return list
}
