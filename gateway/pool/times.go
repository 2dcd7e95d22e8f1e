package pool

import (
	"math"
	"slices"
	"time"
)

// isHanging reports whether a server has requests of this node and has answered none for much
// longer than they usually take.
func (p *Pool) isHanging(m *member, now time.Time) bool {
	return m.inFlight() > 0 && p.isOverdue(m, now.Sub(m.unansweredSince), now)
}

// isOverdue reports whether a request has waited for a response so long that its server is
// treated as hanging.
func (p *Pool) isOverdue(m *member, waited time.Duration, now time.Time) bool {
	return waited.Seconds() > hangFactor*p.serviceTime(m, now)
}

// serviceTime returns the expected service time at a server in seconds. The excess of a slow
// server decays: it gets no requests while others are faster, and would be treated as slow
// forever.
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

// decay returns the weight of an observation of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// serviceTimes summarizes the mean service times of the servers, in seconds.
type serviceTimes struct{ mean, median float64 }

// times returns the mean and median over the servers with a known service time. They are
// cached until a service time changes, because every selection among many servers uses them.
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
