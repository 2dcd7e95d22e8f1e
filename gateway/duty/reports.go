package duty

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// processOwnReports processes the reports of the lessor's own node and decays the weight of
// old ones. Once the lessor has held its lease for longer than follow.MemberTimeout, it also
// publishes the members.
func (d *Duty) processOwnReports(now time.Time) {
	d.loads.Decay(now)
	if now.Before(d.nextReport) {
		return
	}
	d.nextReport = now.Add(reportInterval)
	d.handleReport(d.Reports.Drain())
	if now.Sub(d.lessorSince) > follow.MemberTimeout {
		d.State.SetMembers(d.Feed.Members())
	}
}

// handleReport processes the observations of a node. A node that is not the lessor received
// the report as a relay: it merges the report into its own, which it sends to the lessor.
func (d *Duty) handleReport(report follow.Report) {
	if d.allocator == nil {
		d.Reports.Merge(report)
		return
	}
	for _, c := range report.KeyCounts {
		for i, key := range c.Keys {
			if i < len(c.Requests) {
				d.loads.Count(site.ServiceName(c.Service), ranges.Key(key), int(c.Requests[i]))
			}
		}
	}
	d.handlePaces(report.Paces, clock.Now())
	for _, c := range report.Classes {
		d.mix.Count(site.ServiceName(c.Service), int(c.Priority), int(c.Requests))
	}
	d.measureReport(report)
	d.handleCrashes(report, clock.Now())
}
