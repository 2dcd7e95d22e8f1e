package load

import (
	"math"
	"time"
)

// meter is a decaying average of the number of requests and of their busy time.
// The zero meter has no observations.
type meter struct {
	first time.Time // time of the first observation
	last  time.Time // time to which count and busy are decayed
	count float64   // decayed number of requests
	busy  float64   // decayed seconds of service
}

// observe counts one request. life is the mean lifetime of an observation, in
// seconds.
func (m *meter) observe(now time.Time, busy time.Duration, meanLifetime float64) {
	if m.first.IsZero() {
		m.first, m.last = now, now
	}
	m.decay(now, meanLifetime)
	m.count++
	m.busy += busy.Seconds()
}

func (m *meter) decay(now time.Time, meanLifetime float64) {
	elapsed := now.Sub(m.last).Seconds()
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed / meanLifetime)
	m.count *= factor
	m.busy *= factor
	m.last = now
}

// rates returns requests per second and seconds of service per second as of now.
// It accounts for the short history of a meter that is younger than a few mean
// lifetimes, but assumes a history of at least minHistory.
func (m *meter) rates(now time.Time, meanLifetime float64) (perSecond, busy float64) {
	if m.first.IsZero() {
		return 0, 0
	}
	age := math.Max(now.Sub(m.first).Seconds(), minHistory.Seconds())
	window := meanLifetime * (1 - math.Exp(-age/meanLifetime))
	factor := math.Exp(-math.Max(now.Sub(m.last).Seconds(), 0)/meanLifetime) / window
	return m.count * factor, m.busy * factor
}

// minHistory is the shortest duration over which rates are computed, so that the
// first request of a shard does not result in a high rate.
const minHistory = time.Second
