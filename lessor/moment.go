package lessor

import "time"

// moment is a point on the member's clock, which may lie in the future. The
// zero moment means "never".
type moment struct {
	at  time.Duration
	set bool
}

func momentAt(at time.Duration) moment { return moment{at: at, set: true} }

// fresher reports whether the moment is less than age before now.
func (m moment) fresher(now, age time.Duration) bool {
	return m.set && now-m.at < age
}

// later returns the later of two moments; never is treated as the earliest.
func (m moment) later(other moment) moment {
	if !m.set || (other.set && other.at > m.at) {
		return other
	}
	return m
}

// latest returns the later of two moments; never is treated as the latest.
func (m moment) latest(other moment) moment {
	if !m.set || !other.set {
		return moment{}
	}
	return m.later(other)
}

// earlier returns the earlier of two moments; never is treated as the latest.
func (m moment) earlier(other moment) moment {
	if !m.set || (other.set && other.at < m.at) {
		return other
	}
	return m
}

// passed reports whether the moment has been reached; never has not.
func (m moment) passed(now time.Duration) bool { return m.set && now >= m.at }

// wall converts the member's clock to time.Time for package lease.
func wall(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// fromWall reverses wall; the zero time maps to 0.
func fromWall(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(time.Unix(0, 0))
}
