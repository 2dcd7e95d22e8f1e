package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

const (
	// shareEvery is how often the lessor decides shares.
	shareEvery = quota.Round
	// shareDelay is how long reports and what the lessor makes of them are on their way.
	shareDelay = 800 * time.Millisecond
)

// lessor is who hears of all requests for the first server's keys, and tells shares.
type lessor struct {
	quota   *quota.Quota
	asked   int
	present int
	answers int
}

// decideShares has the lessor decide and tell, as long as requests come.
func (r *replay) decideShares() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	s := r.servers[0]
	told := quota.Server{
		ID:      r.runID(0),
		Slots:   s.Slots,
		Asked:   float64(r.lessor.asked) / shareEvery.Seconds(),
		Runs:    r.SaidToRun * float64(s.Slots) / s.Work.Seconds(),
		Answers: r.lessor.answers,
	}
	if told.Answers > 0 {
		told.Present = float64(r.lessor.present) / float64(told.Answers)
	}
	r.lessor.asked, r.lessor.present, r.lessor.answers = 0, 0, 0
	if shares, changed := r.lessor.quota.Update([]quota.Server{told}, r.Nodes); changed {
		r.at(shareDelay, func() {
			for _, p := range r.pools {
				p.SetShares(shares, r.now.Add(r.Length))
			}
		})
	}
	r.at(shareEvery, r.decideShares)
}
