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

// lessor receives reports of all requests for the first server's keys and sends shares.
type lessor struct {
	quota   *quota.Quota
	asked   int
	present int
	answers int
}

// updateShares has the lessor update and send shares while requests arrive.
func (r *replay) updateShares() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	s := r.servers[0]
	observed := quota.Server{
		ID:       r.currentID(0),
		Slots:    s.Slots,
		Demand:   float64(r.lessor.asked) / shareInterval.Seconds(),
		Capacity: r.AssumedCapacity * float64(s.Slots) / s.Work.Seconds(),
		Answers:  r.lessor.answers,
	}
	if observed.Answers > 0 {
		observed.MeanLoad = float64(r.lessor.present) / float64(observed.Answers)
	}
	r.lessor.asked, r.lessor.present, r.lessor.answers = 0, 0, 0
	if shares, changed := r.lessor.quota.Update([]quota.Server{observed}, r.Nodes); changed {
		r.schedule(shareDelay, func() {
			for _, p := range r.pools {
				p.SetShares(shares, r.now.Add(r.Length))
			}
		})
	}
	r.schedule(shareInterval, r.updateShares)
}
