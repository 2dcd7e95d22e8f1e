package pool

import (
	"math"
	"time"
)

const (
	// slotTolerance is the expected number of requests of other nodes that is treated as none: the estimate decays but
	// never reaches zero.
	slotTolerance = 0.1
	// passWaitShare is the share of the time until its target that a less urgent request waits for a free slot before it
	// may pass. Later it could hardly be answered in time.
	passWaitShare = 0.5
	// freeSlotInterval is the time after which a node looks again for a free slot for waiting requests, while estimates
	// decay: about a third of their half-life.
	freeSlotInterval = 100 * time.Millisecond
	// usualWeight is the weight of one report in the usual number of requests at a server. It covers the reports of about
	// half a second of a node that sends six requests a second and checks two or four servers for each.
	usualWeight = 0.1
	// usualHalfLife is the half-life of the usual number without reports.
	usualHalfLife = time.Second
	// sentHalfLife is the half-life of the rate at which less urgent requests are sent. It covers several answers of a
	// node that sends two requests a second.
	sentHalfLife = 2 * time.Second
)

// passes bounds how many less urgent requests are sent although no server is estimated to have a free slot: they must not
// starve where more urgent ones keep all servers busy. It also measures the rate at which less urgent requests are sent.
type passes struct {
	credit float64
	sent   float64 // decayed, as of sentAt
	sentAt time.Time
}

// minUrgencyShare is the share of the less urgent requests that is served in any case: no kind of request may starve.
const minUrgencyShare = 0.25

// earn adds the part of a request that may pass.
func (s *passes) earn() { s.credit = math.Min(s.credit+minUrgencyShare, maxCredit) }

// noteSent records that a less urgent request is sent.
func (s *passes) noteSent(now time.Time) {
	s.sent = s.decayed(now) + 1
	s.sentAt = now
}

func (s *passes) decayed(now time.Time) float64 {
	return s.sent * decay(now.Sub(s.sentAt), sentHalfLife)
}

// rate returns how many less urgent requests a second are sent.
func (s *passes) rate(now time.Time) float64 {
	return s.decayed(now) * math.Ln2 / sentHalfLife.Seconds()
}

// usualRequests is the mean number of requests of other nodes at a server, over recent reports of all servers. With many
// nodes and servers a node has no recent report of most: it would treat all of these as free, also under overload.
type usualRequests struct {
	mean float64
	at   time.Time
}

func (u *usualRequests) get(now time.Time) float64 {
	return u.mean * decay(now.Sub(u.at), usualHalfLife)
}

// noteReport records a report of a server.
func (p *Pool) noteReport(m *member, now time.Time) {
	if p.urgency.isMixed {
		u := &p.urgency.usual
		mean := u.get(now)
		u.mean, u.at = mean+usualWeight*(m.otherRequests-mean), now
	}
}

// hasFreeSlot reports whether a server is estimated to have a free slot: by its latest report, and as that ages by the
// usual number of requests at a server.
func (p *Pool) hasFreeSlot(m *member, now time.Time) bool {
	weight := decay(now.Sub(m.reportAt), reportHalfLife)
	others := m.otherRequests*weight + p.urgency.usual.get(now)*(1-weight)
	return float64(m.inFlight())+others+1 <= float64(max(m.Slots, 1))+slotTolerance
}

// mayUseQueue reports whether a request may be sent to a server in spite of the queue that it may have there: the most
// urgent ones may, others only go to free slots, or pass after some time.
func (p *Pool) mayUseQueue(m *member, w *Waiter, now time.Time) bool {
	return !p.urgency.isMixed || p.hasFreeSlot(m, now) || !p.isLessUrgent(w, now) || p.mayPass(w, now)
}

// mayPass reports whether a less urgent request has waited so long that it may be sent to the queue of a server.
func (p *Pool) mayPass(w *Waiter, now time.Time) bool {
	return p.urgency.passes.credit >= 1 && !now.Before(w.passAt())
}

// passAt returns the time from which on a less urgent request may pass.
func (w *Waiter) passAt() time.Time {
	return w.ArrivedAt.Add(time.Duration(passWaitShare * float64(max(w.Target.Sub(w.ArrivedAt), 0))))
}

// noteSend records that a request is sent to a server.
func (p *Pool) noteSend(m *member, w *Waiter, now time.Time) {
	if !p.urgency.isMixed || !p.isLessUrgent(w, now) {
		return
	}
	if !p.hasFreeSlot(m, now) {
		p.urgency.passes.credit--
	}
	p.urgency.passes.noteSent(now)
}

// mayOvertake reports whether a request that any server may run precedes all that wait: the less urgent ones wait for free
// slots while there is room for it in the queues of servers.
func (p *Pool) mayOvertake(w *Waiter, now time.Time) bool {
	return p.urgency.holds(now) && !p.isLessUrgent(w, now) && p.countAhead(w, now) == 0
}

// freeSlotWait returns the expected wait of a request behind a number of others: at least that for free slots, if it waits
// for one. Less urgent requests are sent at the rate at which they were lately, or one in a mean service time if there
// were few: the share of a node that had none is not known.
func (p *Pool) freeSlotWait(w *Waiter, wait time.Duration, ahead int, now time.Time) time.Duration {
	if !p.urgency.isMixed || !p.isLessUrgent(w, now) {
		return wait
	}
	rate := max(p.urgency.passes.rate(now), 1/p.times().mean)
	return max(wait, time.Duration(float64(ahead+1)/rate*float64(time.Second)))
}

// freeSlotAt returns when to look again for a free slot for the waiting less urgent requests, while estimates decay. found is
// false if none waits.
func (p *Pool) freeSlotAt(now time.Time) (at time.Time, found bool) {
	if !p.urgency.holds(now) {
		return time.Time{}, false
	}
	for _, w := range p.queue {
		if p.isLessUrgent(w, now) {
			return now.Add(freeSlotInterval), true
		}
	}
	return time.Time{}, false
}

// needsFreeSlot reports whether a request that any server may run waits for a free slot.
func (p *Pool) needsFreeSlot(w *Waiter, now time.Time) bool {
	return p.urgency.isMixed && w.OnlyServer == "" && p.isLessUrgent(w, now) && !p.mayPass(w, now)
}

// isUnrestricted reports whether all servers may run a request.
func (w *Waiter) isUnrestricted() bool {
	return w.OnlyServer == "" && len(w.Tried) == 0 && w.MayRunIn == nil && w.CountedServer == ""
}
