package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// guided is the guidance of the lessor as it applies to the pool's service.
type guided struct {
	guidance.Guidance
	service    site.ServiceName
	receivedAt time.Time // zero: there is none
}

// SetGuidance sets the guidance of the lessor, which this node received at a time. It applies only while the service is
// mixed, or for the speeds of its servers while the site is.
func (p *Pool) SetGuidance(service site.ServiceName, g guidance.Guidance, receivedAt time.Time) {
	p.guided = guided{Guidance: g, service: service, receivedAt: receivedAt}
	p.urgency.setGuidance(service, g, receivedAt)
	p.cachedTimes = serviceTimes{}
}
