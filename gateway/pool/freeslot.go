package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// slotTolerance is the expected number of requests of other nodes that is treated as none: the belief decays but
	// never reaches zero.
	slotTolerance = 0.1
	// passWaitShare is the share of the time until its target that a less urgent request waits for a free slot before it
	// may pass. Later it could hardly be answered in time.
	passWaitShare = 0.5
	// wakeMargin is added to the time at which a belief decays, which is rounded.
	wakeMargin = time.Millisecond
	// sentHalfLife is the half-life of the rate at which less urgent requests are sent. It covers several answers of a
	// node that sends two requests a second.
	sentHalfLife = 2 * time.Second
)

// passes bounds how many less urgent requests are sent although no server is believed to have a free slot: they must not
// starve where more urgent ones keep all servers busy. It also measures the rate at which less urgent requests are sent.
type passes struct {
	credit float64
	sent   float64 // decayed, as of sentAt
	sentAt time.Time
}

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

// hasFreeSlot reports whether a server is believed to have a free slot.
func (m *member) hasFreeSlot(now time.Time) bool {
	return m.requests(now)+1 <= float64(max(m.Slots, 1))+slotTolerance
}

// mayUseQueue reports whether a request may be sent to a server in spite of the queue that it may have there: the most
// urgent ones may, others only go to free slots, or pass after some time.
func (p *Pool) mayUseQueue(m *member, w *Waiter, now time.Time) bool {
	return !p.urgency.isMixed || m.hasFreeSlot(now) || !p.isLessUrgent(w, now) || p.mayPass(w, now)
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
	if !m.hasFreeSlot(now) {
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
// for one. Less urgent requests are sent at the rate at which they were lately.
func (p *Pool) freeSlotWait(w *Waiter, wait time.Duration, ahead int, now time.Time) time.Duration {
	if !p.urgency.isMixed || !p.isLessUrgent(w, now) {
		return wait
	}
	rate := p.urgency.passes.rate(now)
	if rate <= 0 {
		return wait
	}
	return max(wait, time.Duration(float64(ahead+1)/rate*float64(time.Second)))
}

// freeSlotAt returns the earliest time at which a waiting less urgent request may be sent since the belief in other
// nodes' requests has decayed, it may pass, or the guidance expires. found is false if none waits.
func (p *Pool) freeSlotAt(now time.Time) (at time.Time, found bool) {
	if !p.urgency.holds(now) {
		return time.Time{}, false
	}
	earliest := func(t time.Time) {
		if now.Before(t) && (!found || t.Before(at)) {
			at, found = t, true
		}
	}
	owners, anyServer := map[site.ServerID]bool{}, false
	for _, w := range p.queue {
		if !p.isLessUrgent(w, now) {
			continue
		}
		owners[w.OnlyServer] = true
		anyServer = anyServer || w.OnlyServer == ""
		earliest(p.urgency.expiresAt)
		if p.urgency.passes.credit >= 1 {
			earliest(w.passAt())
		}
	}
	if len(owners) == 0 {
		return time.Time{}, false
	}
	for _, m := range p.order {
		if anyServer || owners[m.ID] {
			earliest(m.freeAt(now))
		}
	}
	return at, found
}

// freeAt returns the time at which a server is believed to have a free slot if no report arrives; zero: it has one now, or
// the requests of this node take its slots.
func (m *member) freeAt(now time.Time) time.Time {
	room := float64(max(m.Slots, 1)-1-m.inFlight()) + slotTolerance
	others := m.otherRequests * decay(now.Sub(m.reportAt), reportHalfLife)
	if room <= 0 || others <= room {
		return time.Time{}
	}
	left := math.Log2(others/room) * float64(reportHalfLife)
	return now.Add(time.Duration(left) + wakeMargin)
}

// needsFreeSlot reports whether a request that any server may run waits for a free slot.
func (p *Pool) needsFreeSlot(w *Waiter, now time.Time) bool {
	return p.urgency.isMixed && w.OnlyServer == "" && p.isLessUrgent(w, now) && !p.mayPass(w, now)
}

// isUnrestricted reports whether all servers may run a request.
func (w *Waiter) isUnrestricted() bool {
	return w.OnlyServer == "" && len(w.Tried) == 0 && w.MayRunIn == nil && w.CountedServer == ""
}
