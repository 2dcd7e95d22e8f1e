package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

const (
	// shareInterval is the interval at which the lessor updates shares.
	shareInterval = quota.UpdateInterval
	// shareDelay is the time for reports to reach the lessor and for shares to reach the
	// nodes.
	shareDelay = 800 * time.Millisecond
)

// lessor receives reports of all requests for the servers' keys and sends shares.
type lessor struct {
	quota    *quota.Quota
	observed []observed // by server
}

// observed is what nodes have reported of a server since the latest update.
type observed struct {
	asked   int
	present int
	answers int
}

// updateShares has the lessor update and send shares while requests arrive.
func (r *replay) updateShares() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	var reported []quota.Server
	for i := range r.servers {
		if i == 0 || r.Keyed {
			reported = append(reported, r.report(i))
		}
	}
	if shares, changed := r.lessor.quota.Update(reported, r.Nodes); changed {
		r.schedule(shareDelay, func() {
			for _, p := range r.pools {
				p.SetShares(shares, r.now.Add(r.Length))
			}
		})
	}
	r.schedule(shareInterval, r.updateShares)
}

// report returns what the lessor knows of a server, and begins to observe it anew.
func (r *replay) report(i int) quota.Server {
	s, seen := r.servers[i], r.lessor.observed[i]
	r.lessor.observed[i] = observed{}
	report := quota.Server{
		ID:       r.currentID(i),
		Slots:    s.Slots,
		Demand:   float64(seen.asked) / shareInterval.Seconds(),
		Capacity: r.AssumedCapacity * float64(s.Slots) / s.Work.Seconds(),
		Answers:  seen.answers,
	}
	if report.Answers > 0 {
		report.MeanLoad = float64(seen.present) / float64(report.Answers)
	}
	return report
}
