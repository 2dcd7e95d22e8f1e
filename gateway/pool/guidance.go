package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// guided is the guidance of the lessor as it applies to the pool's service.
type guided struct {
	guidance.Guidance
	receivedAt time.Time // zero: there is none
	hasSpeeds  bool      // it has speeds and work; tested first, since it is read for each server that is considered
	speedUntil time.Time // until when they are used
	serial     uint64    // of the guidance, for what waiters keep of it
	// relative is the mean relative service time over requests if all slots are equally busy.
	relative float64
}

// SetGuidance sets the guidance of the lessor, which this node received at a time. It applies only while the service is
// mixed, or for the speeds of its servers while the site is.
func (p *Pool) SetGuidance(service site.ServiceName, g guidance.Guidance, receivedAt time.Time) {
	serial := p.guided.serial + 1
	p.guided = guided{Guidance: g, receivedAt: receivedAt, serial: serial}
	p.urgency.setGuidance(service, g, receivedAt)
	if g.IsMixed() && len(g.Work) > 0 && !receivedAt.IsZero() {
		p.guided.hasSpeeds, p.guided.speedUntil = true, receivedAt.Add(guidance.Validity)
	}
	p.cachedTimes = serviceTimes{}
	p.applySpeeds()
}

// applySpeeds copies the speeds of the guidance to the servers, so that a selection among all of them needs no lookups.
func (p *Pool) applySpeeds() {
	p.applyConcurrency()
	if !p.guided.hasSpeeds {
		return
	}
	slots, rate := 0.0, 0.0
	for _, m := range p.members {
		relative, isListed := p.guided.Speeds[m.ID]
		m.speed.isListed = isListed && relative > 0
		m.speed.guided = 1
		if m.speed.isListed {
			m.speed.guided = min(max(relative, minRelative), maxRelative)
		}
		m.speed.cachedAt = time.Time{}
		slots += float64(max(m.Slots, 1))
		rate += float64(max(m.Slots, 1)) / m.speed.guided
	}
	p.spread.at = time.Time{}
	p.guided.relative = 1
	if rate > 0 {
		p.guided.relative = slots / rate
	}
}

// isGuided reports whether service times are taken from the guidance. They are not where servers report the slowdown of their
// machines: their load is then checked before a request is sent, which tells more than their mean speed.
func (p *Pool) isGuided(now time.Time) bool {
	return p.guided.hasSpeeds && p.loadChecks.meanSlowdown == 0 && now.Before(p.guided.speedUntil)
}
