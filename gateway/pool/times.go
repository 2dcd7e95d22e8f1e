package pool

import (
	"math"
	"slices"
	"time"
)

// isHanging reports whether a server has requests and has answered none of this node
// for much longer than they take.
func (p *Pool) isHanging(m *member, now time.Time) bool {
	return m.inFlight() > 0 && p.isOverdue(m, now.Sub(m.unansweredSince), now)
}

// isOverdue reports whether a request without an answer for a time tells that the
// server hangs.
func (p *Pool) isOverdue(m *member, waited time.Duration, now time.Time) bool {
	return waited.Seconds() > hangFactor*p.serviceTime(m, now)
}

// serviceTime returns how many seconds a request takes at a server. What is known of a
// slow one loses its weight: it is not tried while others are quicker, and would
// count as slow for ever.
func (p *Pool) serviceTime(m *member, now time.Time) float64 {
	times := p.times()
	switch {
	case m.meanSeconds == 0:
		return times.mean
	case m.meanSeconds <= times.median:
		return m.meanSeconds
	}
	return times.median + (m.meanSeconds-times.median)*decay(now.Sub(m.meanUpdatedAt), slowHalfLife)
}

// decay returns the weight of something of an age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// serviceTimes sums up the mean times of the servers, in seconds.
type serviceTimes struct{ mean, median float64 }

// times returns the times over the servers that have one. They are kept until a
// time changes, since every choice among many servers asks for them.
func (p *Pool) times() serviceTimes {
	if p.cachedTimes.mean > 0 {
		return p.cachedTimes
	}
	var means []float64
	sum := 0.0
	for _, m := range p.order {
		if m.meanSeconds > 0 {
			means = append(means, m.meanSeconds)
			sum += m.meanSeconds
		}
	}
	if len(means) == 0 {
		initial := initialTime.Seconds()
		p.cachedTimes = serviceTimes{initial, initial}
		return p.cachedTimes
	}
	slices.Sort(means)
	p.cachedTimes = serviceTimes{mean: sum / float64(len(means)), median: means[(len(means)-1)/2]}
	return p.cachedTimes
}
