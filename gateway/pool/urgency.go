package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Admission by urgency handles this load pattern: requests of several priorities at the same servers, where a surge of
// long, less urgent requests fills the servers' queues, in which nothing overtakes. The lessor decides which share of each
// priority all nodes admit (package urgency). Each node refuses the rest at once, and sends less urgent requests only to
// servers that are estimated to have a free slot (freeslot.go), so that more urgent ones overtake them at the node.

// AdmissionValidity is how long the admissions of the guidance hold after it was received. Nodes that are cut off from
// the lessor then serve the service as without guidance.
const AdmissionValidity = 5 * time.Second

// urgency is the state of a mixed service.
type urgency struct {
	isMixed   bool // as of the latest guidance, until expiresAt
	expiresAt time.Time
	admission guidance.Admission
	credits   map[int]float64 // unused part of the admitted shares, by priority
	counts    priorityCounts  // requests at this node
	passes    passes
	usual     usualRequests
}

// setGuidance applies the guidance that was received at a time.
func (u *urgency) setGuidance(service site.ServiceName, g guidance.Guidance, receivedAt time.Time) {
	u.isMixed = !receivedAt.IsZero() && g.HasMixed(service)
	u.expiresAt = receivedAt.Add(AdmissionValidity)
	u.admission = nil
	if u.isMixed {
		u.admission = g.Admissions[service]
	}
}

// holds reports whether the service is mixed by guidance that has not expired.
func (u *urgency) holds(now time.Time) bool { return u.isMixed && now.Before(u.expiresAt) }

// IsMixed reports whether the service is served by urgency now.
func (p *Pool) IsMixed(now time.Time) bool { return p.urgency.holds(now) }

// noteClass counts a new request by its priority. Resent and forwarded ones have been counted.
func (p *Pool) noteClass(w *Waiter, now time.Time) {
	if !p.urgency.isMixed || w.ChargedToAdmission {
		return
	}
	p.urgency.counts.add(w.Priority, now)
	p.urgency.passes.earn()
}

// isLessUrgent reports whether a request of a mixed service has another priority than the most urgent one in use: the
// lowest number that the lessor admits requests of, or that this node has lately received. Requests for keys have one
// server only: the share of a busy owner bounds them, and those that waited for a free slot of theirs were late.
func (p *Pool) isLessUrgent(w *Waiter, now time.Time) bool {
	if !p.urgency.holds(now) || w.OnlyServer != "" {
		return false
	}
	for priority, share := range p.urgency.admission {
		if priority < w.Priority && share > 0 {
			return true
		}
	}
	return p.urgency.counts.mostUrgent() < w.Priority
}

// refuseBeyondAdmission refuses a request that exceeds the admitted share of its priority. Requests that were queued
// before the share arrived are charged to it like new ones. Shares are of services without keys.
func (p *Pool) refuseBeyondAdmission(w *Waiter, now time.Time) *Refusal {
	if w.ChargedToAdmission || w.OnlyServer != "" || !p.urgency.holds(now) {
		return nil
	}
	share, isLimited := p.urgency.admission[w.Priority]
	if !isLimited || share >= 1 {
		return nil
	}
	if !p.spendAdmission(w, share, now) {
		refusal := p.refuseForCapacity(w, BeyondAdmission, p.admissionInterval(share), now)
		refusal.Share = share
		return refusal
	}
	w.ChargedToAdmission = true
	return nil
}

// spendAdmission charges a request to the share of its priority and reports whether it is admitted.
func (p *Pool) spendAdmission(w *Waiter, share float64, now time.Time) bool {
	if p.urgency.credits == nil {
		p.urgency.credits = map[int]float64{}
	}
	credit, exists := p.urgency.credits[w.Priority]
	if !exists {
		credit = p.initialCredit()
	}
	isAdmitted := p.spendCredit(&credit, share, w, now)
	p.urgency.credits[w.Priority] = credit
	return isAdmitted
}

// admissionInterval returns the wait of a request beyond its share: the time in which about one request more is admitted.
func (p *Pool) admissionInterval(share float64) time.Duration {
	return time.Duration(p.times().mean / max(share, minShare) * float64(time.Second))
}
