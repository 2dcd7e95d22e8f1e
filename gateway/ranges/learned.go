package ranges

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

// Keys are placed by learned speeds where servers differ in speed and requests in work. The measured time of an answer
// contains the server's queue and the kind of its requests, so that placing by it moves keys from a busy server to another
// one and back: 126 of 138 servers were source and target within 18 s.
//
// The objective is the least expected time of all requests. With the mean queue of random arrivals that is reached when the
// spare capacity of each server is in proportion to the square root of its capacity: a slow server is used less than
// a fast one, since its requests take longer in any case. The level of a server is its utilization, converted so that it
// is equal at all servers then, and equals the utilization at a typical server.
const (
	// leastTime and equalUtilization are exponents of the relative service time in the spare capacity.
	leastTime        = 0.5
	equalUtilization = 0
	// gapDeviations is the number of standard deviations of the difference of two levels that is subtracted from it.
	gapDeviations = 2
	// turnDeviations is the same if keys would move back: from a server that was the target of a move within turnMemory,
	// or to one that was the source. The first move may have been by chance.
	turnDeviations = 4
	turnMemory     = 30 * time.Second
	// maxTargets is the number of servers that are considered as targets of a server's keys.
	maxTargets = 16
	// unknownDeviation is the relative standard deviation of the speed of a server that has not answered yet.
	unknownDeviation = 0.35
)

// learned holds what placement by learned speeds keeps between rounds.
type learned struct {
	speeds   speed.Estimates
	exponent float64 // of the relative service time in the spare capacity
	// sourceAt and targetAt are when each server was last the source and the target of a move.
	sourceAt, targetAt map[site.ServerID]time.Time
}

func newLearned() learned {
	return learned{exponent: leastTime, sourceAt: map[site.ServerID]time.Time{}, targetAt: map[site.ServerID]time.Time{}}
}

// UseSpeeds sets the learned speeds by which the keys of the services that they contain are placed. Services without
// speeds are placed by the reported service times.
func (l *Loads) UseSpeeds(speeds speed.Estimates) { l.learned.speeds = speeds }

// speedsOf returns the learned speeds of a service.
func (l *Loads) speedsOf(service site.ServiceName) (speeds speed.Service, isLearned bool) {
	speeds, isLearned = l.learned.speeds.Services[service]
	return speeds, isLearned && speeds.Work > 0
}

// learnedUsage is the part of a server's usage that follows from its learned speed.
type learnedUsage struct {
	speed          speed.Estimate
	scale          float64 // of levels: square root of the relative capacity
	level          float64
	levelDeviation float64 // standard deviation of the level
}

// learnedCost returns the usage of a server without requests, by the mean work of the service and the learned speed.
func learnedCost(server site.Server, speeds speed.Service) *usage {
	estimate, known := speeds.Servers[server.ID]
	if !known {
		estimate.Relative, estimate.Deviation = 1, unknownDeviation
	}
	cost := speeds.Work * estimate.Relative / float64(max(speeds.SlotsOf(server.ID, server.Slots), 1))
	return &usage{server: server, cost: cost, learned: &learnedUsage{speed: estimate}}
}

// estimate returns the learned speed of the server, nil if it is not learned.
func (u *usage) estimate() *speed.Estimate {
	if u.learned == nil {
		return nil
	}
	return &u.learned.speed
}

// addSpeedDeviation adds the uncertainty of the speed to that of the load.
func (u *usage) addSpeedDeviation() {
	if u.learned != nil {
		u.deviation = math.Hypot(u.deviation, u.utilization*u.learned.speed.Deviation)
	}
}

// setLevel computes the level of a server. The level is 1 - (1 - utilization) x scale with a scale of
// relative^-exponent, which gives the part of its deviation that follows from the speed.
func (u *usage) setLevel(exponent, loadDeviation float64) {
	l := u.learned
	l.scale = math.Pow(l.speed.Relative, -exponent)
	l.level = 1 - (1-u.utilization)*l.scale
	bySpeed := (u.utilization + exponent*max(1-u.utilization, 0)) * l.scale * l.speed.Deviation
	l.levelDeviation = math.Hypot(loadDeviation*l.scale, bySpeed)
}

// evenOutLearned moves load from the server with the highest level that can release some to one with a low level, and
// reports whether it started a move.
func (r *round) evenOutLearned() bool {
	for _, u := range r.usages {
		rate := max(u.utilization, 0) / u.cost // after moves a utilization may be below 0 by rounding
		u.setLevel(r.loads.learned.exponent, u.cost*r.loads.rateDeviation(rate))
	}
	slices.SortStableFunc(r.usages, func(a, b *usage) int { return cmp.Compare(b.learned.level, a.learned.level) })
	for _, from := range r.usages {
		to := r.targetFor(from)
		if to == nil {
			continue
		}
		gap := from.learned.level - to.learned.level
		want := gap / (from.cost*from.learned.scale + to.cost*to.learned.scale)
		l, span, rate, found := r.selectPart(from, want)
		if !found && from.utilization > crowdedUtilization {
			l, span, rate, found = r.wholeRange(from)
		}
		if found {
			r.start(from, to, l, span, rate)
			return true
		}
	}
	return false
}

// targetFor returns the server with the lowest level that differs from that of another server by more than chance explains,
// or nil if there is none.
func (r *round) targetFor(from *usage) *usage {
	for i := range min(maxTargets, len(r.usages)) {
		to := r.usages[len(r.usages)-1-i]
		if from.learned.level-to.learned.level < minGap {
			return nil
		}
		if to.ranges < maxServerRanges && (to.ranges == 0 || !r.isEven(from, to)) {
			return to
		}
	}
	return nil
}

// isEven reports whether two servers are so equally used that nothing is moved.
func (r *round) isEven(from, to *usage) bool {
	deviations := float64(gapDeviations)
	if r.wouldTurn(from, to) {
		deviations = turnDeviations
	}
	gap := from.learned.level - to.learned.level
	gap -= deviations * math.Hypot(from.learned.levelDeviation, to.learned.levelDeviation)
	return gap < minGap || gap < idleGap && from.utilization < busyUtilization
}

// wouldTurn reports whether a move would go against a recent one.
func (r *round) wouldTurn(from, to *usage) bool {
	isRecent := func(at map[site.ServerID]time.Time, u *usage) bool {
		moved, known := at[u.server.ID]
		return known && r.now.Sub(moved) < turnMemory
	}
	return isRecent(r.loads.learned.targetAt, from) || isRecent(r.loads.learned.sourceAt, to)
}

// noteMove records the source and the target of a move.
func (l *learned) noteMove(from, to *usage, now time.Time) {
	if from.learned == nil {
		return
	}
	isOld := func(_ site.ServerID, at time.Time) bool { return now.Sub(at) >= turnMemory }
	maps.DeleteFunc(l.sourceAt, isOld)
	maps.DeleteFunc(l.targetAt, isOld)
	l.sourceAt[from.server.ID], l.targetAt[to.server.ID] = now, now
}
