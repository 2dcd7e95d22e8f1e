package returns

import (
	"math"
	"time"
)

// rateHalfLife is the half-life of counted events. A node of 81 sees a few requests of a priority per second, and bursts
// last some seconds.
const rateHalfLife = 2 * time.Second

// minRateAge bounds the time over which the first events are averaged, so that a single one does not look like hundreds
// per second.
const minRateAge = 500 * time.Millisecond

// rate measures events per second by a decayed count.
type rate struct {
	count     float64
	startedAt time.Time // of the first event
	updatedAt time.Time
}

func (r *rate) add(now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt, r.updatedAt = now, now
	}
	r.count = r.count*math.Exp2(-now.Sub(r.updatedAt).Seconds()/rateHalfLife.Seconds()) + 1
	r.updatedAt = now
}

// perSecond returns the decayed count over the time that it stands for, which is short after the first event.
func (r *rate) perSecond(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	count := r.count * math.Exp2(-now.Sub(r.updatedAt).Seconds()/rateHalfLife.Seconds())
	age := max(now.Sub(r.startedAt), minRateAge).Seconds()
	mean := rateHalfLife.Seconds() / math.Ln2
	return count / (mean * (1 - math.Exp(-age/mean)))
}
