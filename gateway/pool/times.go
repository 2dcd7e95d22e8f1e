package pool

import (
	"math"
	"slices"
	"time"
)

// isHanging reports whether a server has requests of this node and has answered none for much
// longer than they usually take.
func (p *Pool) isHanging(m *member, now time.Time) bool {
	return m.inFlight() > 0 && p.isOverdue(m, now.Sub(m.unansweredSince), p.longestWork(m, now), now)
}

// isOverdue reports whether a request of some work has waited for a response so long that its server is
// treated as hanging.
func (p *Pool) isOverdue(m *member, waited time.Duration, work float64, now time.Time) bool {
	return waited.Seconds() > hangFactor*p.stayOf(m, work, now)
}

// serviceTime returns the expected service time at a server in seconds, of a request of mean work if the pool is guided.
func (p *Pool) serviceTime(m *member, now time.Time) float64 {
	if p.isGuided(now) {
		return m.relative(now) * p.meanWork()
	}
	return p.recentTime(m, now)
}

// recentTime returns the mean time of a server's recent answers in seconds. The excess of a slow
// server decays: it gets no requests while others are faster, and would be treated as slow
// forever.
func (p *Pool) recentTime(m *member, now time.Time) float64 {
	times := p.times()
	switch {
	case m.meanSeconds == 0:
		return times.mean
	case m.meanSeconds <= times.median:
		return m.meanSeconds
	}
	return times.median + (m.meanSeconds-times.median)*decay(now.Sub(m.meanUpdatedAt), slowHalfLife)
}

// recordServiceTime records in how many seconds a server answered. The time to open a connection is left
// out: a server that is rarely used would look slow, and be used even less.
func (p *Pool) recordServiceTime(m *member, seconds float64, now time.Time) {
	if m.meanSeconds == 0 {
		m.meanSeconds = seconds
	}
	m.meanSeconds = p.recentTime(m, now)
	m.meanUpdatedAt = now
	m.meanSeconds += timeWeight * (seconds - m.meanSeconds)
	p.cachedTimes = serviceTimes{}
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
