// Package health judges backend servers and entry nodes by what is observed of
// requests to them, never by what they report of themselves. The judgement is
// pure: time comes in as an argument.
package health

import "time"

// Observation is what one attempt showed.
type Observation uint8

// Observations.
const (
	// Answered: an answer came, also one that refuses.
	Answered Observation = iota + 1
	// Unreachable: no connection could be made.
	Unreachable
	// Silent: a connection made no progress, or no answer came in time.
	Silent
	// Broken: the connection ended before the answer was whole.
	Broken
)

// Limits of the judgement.
const (
	// failuresToEject is how many failures in a row take a server out.
	failuresToEject = 3
	// A server also goes out when of the last rateWeight or so attempts more
	// than rateToEject failed.
	rateToEject = 0.5
	rateWeight  = 16
	// The first ejection lasts ejectBase, each further one twice as long, up
	// to ejectMost. A server that stays well for forgetAfter starts anew.
	ejectBase   = 500 * time.Millisecond
	ejectMost   = 30 * time.Second
	forgetAfter = time.Minute
	// returnTime is how long a server takes from leastWeight to its whole
	// share after it comes back.
	returnTime  = 5 * time.Second
	leastWeight = 0.1
)

// Tracker is the judgement of one server. The zero value is a healthy one. It
// is not for concurrent use.
type Tracker struct {
	failures  int     // in a row
	rate      float64 // running share of failures
	seen      int
	ejections int
	until     time.Time // end of the latest ejection
	lastBad   time.Time
	reported  Report
}

// Report is what a server says of itself. It is kept for dumps only.
type Report struct {
	At       time.Time
	Draining bool
	Load     float64
}

// Observe takes the result of one attempt and reports whether it took the
// server out.
func (t *Tracker) Observe(now time.Time, o Observation) bool {
	t.seen++
	failed := o != Answered
	sample := 0.0
	if failed {
		sample = 1
	}
	t.rate += (sample - t.rate) / float64(min(t.seen, rateWeight))
	if !failed {
		t.failures = 0
		t.forget(now)
		return false
	}
	t.failures++
	t.lastBad = now
	if t.Ejected(now) || !t.bad(now) {
		return false
	}
	t.eject(now)
	return true
}

// bad reports whether what was observed takes the server out. A server that is
// still on its way back goes out again at its first failure.
func (t *Tracker) bad(now time.Time) bool {
	if t.ejections > 0 && t.Weight(now) < 1 {
		return true
	}
	if t.failures >= failuresToEject {
		return true
	}
	return t.seen >= rateWeight && t.rate > rateToEject
}

func (t *Tracker) eject(now time.Time) {
	length := ejectMost
	if t.ejections < 6 {
		length = min(ejectBase<<t.ejections, ejectMost)
	}
	t.ejections++
	t.until = now.Add(length)
	t.failures = 0
	t.rate = 0
	t.seen = 0
}

func (t *Tracker) forget(now time.Time) {
	if t.ejections > 0 && now.Sub(t.lastBad) > forgetAfter {
		t.ejections = 0
	}
}

// Ejected reports whether the server is out.
func (t *Tracker) Ejected(now time.Time) bool { return now.Before(t.until) }

// Until is when the latest ejection ends.
func (t *Tracker) Until() time.Time { return t.until }

// Ejections is how often the server went out since it was last well for long.
func (t *Tracker) Ejections() int { return t.ejections }

// Weight is the share of its usual load that the server may take: 0 while it is
// out, then growing to 1.
func (t *Tracker) Weight(now time.Time) float64 {
	switch {
	case t.Ejected(now):
		return 0
	case t.ejections == 0:
		return 1
	}
	back := float64(now.Sub(t.until)) / float64(returnTime)
	return min(leastWeight+(1-leastWeight)*back, 1)
}

// Readmit ends an ejection early, because the server was replaced.
func (t *Tracker) Readmit() { *t = Tracker{reported: t.reported} }

// Hear keeps a report. It changes no judgement.
func (t *Tracker) Hear(r Report) { t.reported = r }

// Reported returns the latest report.
func (t *Tracker) Reported() Report { return t.reported }
