package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// restWaitShare is the share of its remaining time for which a request waits at most for the end of a rest. A
// caller that is refused returns after that share at the latest, whatever it is told.
const restWaitShare = 1.0 / 3

// returnSpread is the share of the rest over which the return of callers is spread.
const returnSpread = 0.1

// Rest stops requests to a server that has asked for a rest, whichever of its incarnations this node sent the request
// to. A rest that ends later holds. The first request after it is sent alone, and others follow when it has been
// answered.
func (p *Pool) Rest(id site.ServerID, rest time.Duration, now time.Time) {
	if l := p.lastingByName(id.Name()); l != nil && rest > 0 {
		p.rest(l, rest, now)
	}
}

func (p *Pool) rest(l *lasting, rest time.Duration, now time.Time) {
	until := now.Add(rest)
	if until.After(l.restUntil) {
		l.restUntil = until
	}
	if until.After(p.restingUntil) {
		p.restingUntil = until
	}
	l.isReturning = true
}

// rests reports whether a server has asked for a rest that has not ended.
func (l *lasting) rests(now time.Time) bool { return now.Before(l.restUntil) }

// hasRestCapacity reports whether the latest rest of a server lets a request be sent now.
func (m *member) hasRestCapacity(now time.Time) bool {
	if m.rests(now) {
		return false
	}
	if !m.isReturning || len(m.sentAt) == 0 {
		return true
	}
	return m.sentAt[len(m.sentAt)-1].Before(m.restUntil) // none has been sent after the rest
}

// endRest lets more than one request be sent to a server that has answered one after its rest.
func (m *member) endRest(took time.Duration, now time.Time) {
	if !now.Add(-took).Before(m.restUntil) {
		m.isReturning = false
	}
}

// RefuseRetry refuses another attempt of a request if all servers that may run it rest: those that have not been
// tried, for longer than it should wait, or all if each has been tried.
func (p *Pool) RefuseRetry(w *Waiter, now time.Time) *Refusal {
	if p.hasServer(w, now) {
		return p.refuseResting(w, now)
	}
	first := *w
	first.Tried = nil
	left, doAllRest := p.restLeft(&first, now)
	if !doAllRest {
		return nil
	}
	return &Refusal{Reason: Resting, RetryAfter: p.afterRest(left)}
}

// restLeft returns how long the earliest rest lasts of the servers that may run a request, and whether all of
// them rest.
func (p *Pool) restLeft(w *Waiter, now time.Time) (left time.Duration, doAllRest bool) {
	if !now.Before(p.restingUntil) { // nearly always
		return 0, false
	}
	var earliest time.Time
	for _, m := range p.order {
		if !w.mayRunAt(m, now) || m.blocked(now) {
			continue
		}
		if !m.rests(now) {
			return 0, false
		}
		if earliest.IsZero() || m.restUntil.Before(earliest) {
			earliest = m.restUntil
		}
	}
	return earliest.Sub(now), !earliest.IsZero()
}

// afterRest returns when a caller should return to servers that rest for some time more: not before the end, and
// not all callers at once.
func (p *Pool) afterRest(left time.Duration) time.Duration {
	return left + time.Duration(p.random.Int64N(int64(returnSpread*float64(left))+1))
}

// refuseResting refuses a request if all servers that may run it rest, for longer than it should wait.
func (p *Pool) refuseResting(w *Waiter, now time.Time) *Refusal {
	left, doAllRest := p.restLeft(w, now)
	if !doAllRest {
		return nil
	}
	remaining := w.Deadline.Sub(now)
	if left <= time.Duration(restWaitShare*float64(remaining)) {
		return nil
	}
	return &Refusal{Reason: Resting, RetryAfter: p.afterRest(left)}
}
