package duty

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
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
		eventGuidance.Log(d.Logger, "mixed", next.Mixed, "speeds", len(next.Speeds), "concurrency", len(next.Concurrency), "work", next.Work, "admissions", next.Admissions)
	}
	d.guidanceSentAt = now
	d.guidanceSerial++
	d.State.MergeGuidance(view.Guidance{Offset: d.leaseOffset, Serial: d.guidanceSerial, Guidance: next})
}

// beginGuidance begins to measure services, with the guidance that the node of a new lessor holds.
func (d *Duty) beginGuidance(now time.Time) {
	d.mix = guidance.NewMix()
	d.beginSpeeds(now)
	d.admissions.reset(d.State.Now().Guidance)
}

// decideGuidance returns the guidance by the reports so far.
func (d *Duty) decideGuidance(v *view.View, now time.Time) guidance.Guidance {
	next := guidance.Guidance{Mixed: d.mix.Mixed(v.Config, now)}
	d.updateSpeeds(v, next.IsMixed(), now)
	d.sent.update(d.estimates.Load(), now)
	next.Speeds, next.Work, next.Concurrency = d.sent.speeds, d.sent.work, d.sent.concurrency
	next.Admissions = d.decideAdmissions(v, withoutKeyed(next.Mixed, v.Config), now)
	return next
}

// withoutKeyed returns the services whose requests any server may run. Owners of keys have shares of their own, see package
// quota.
func withoutKeyed(services []site.ServiceName, config *site.Config) []site.ServiceName {
	return slices.DeleteFunc(slices.Clone(services), func(name site.ServiceName) bool {
		return config != nil && config.Services[name].Keyed
	})
}
