package duty

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// guidanceInterval is the time between two updates of the guidance. Nodes report at the same interval.
	guidanceInterval = 500 * time.Millisecond
	// guidanceResendInterval is the interval at which unchanged guidance is sent again, so that nodes which receive
	// nothing from the lessor can let it expire.
	guidanceResendInterval = 2 * time.Second
)

// updateGuidance decides how mixed services are served, and sends the guidance when it has changed or is due again.
func (d *Duty) updateGuidance(now time.Time) {
	if d.allocator == nil || now.Before(d.nextGuidance) {
		return
	}
	d.nextGuidance = now.Add(guidanceInterval)
	v := d.State.Now()
	next := d.decideGuidance(v, now)
	changed := next.DiffersFrom(v.Guidance.Guidance)
	isStale := next.IsMixed() && now.Sub(d.guidanceSentAt) > guidanceResendInterval
	if !changed && !isStale {
		return
	}
	if changed {
		eventGuidance.Log(d.Logger, "mixed", next.Mixed, "speeds", len(next.Speeds), "work", next.Work, "admissions", next.Admissions)
	}
	d.guidanceSentAt = now
	d.guidanceSerial++
	d.State.MergeGuidance(view.Guidance{Offset: d.leaseOffset, Serial: d.guidanceSerial, Guidance: next})
}

// decideGuidance returns the guidance by the reports so far.
func (d *Duty) decideGuidance(v *view.View, now time.Time) guidance.Guidance {
	mixed := d.admissions.withSeeded(d.mix.Mixed(v.Config, now), v.Config, now)
	return guidance.Guidance{Mixed: mixed, Admissions: d.decideAdmissions(v, mixed, now)}
}
