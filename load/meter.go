package load

import (
	"math"
	"time"
)

// meter is a decaying average of requests and of their busy time. The zero
// meter has seen nothing.
type meter struct {
	first time.Time // of the first observation
	last  time.Time // as of which count and busy are
	count float64   // decayed number of requests
	busy  float64   // decayed seconds of service
}

// observe counts one request. life is the mean life of an observation in
// seconds.
func (m *meter) observe(now time.Time, busy time.Duration, life float64) {
	if m.first.IsZero() {
		m.first, m.last = now, now
	}
	m.decay(now, life)
	m.count++
	m.busy += busy.Seconds()
}

func (m *meter) decay(now time.Time, life float64) {
	passed := now.Sub(m.last).Seconds()
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed / life)
	m.count *= factor
	m.busy *= factor
	m.last = now
}

// rates returns requests per second and seconds of service per second as of
// now. While the meter is younger than a few lives it accounts for the short
// history, but never for less than minHistory.
func (m *meter) rates(now time.Time, life float64) (perSecond, busy float64) {
	if m.first.IsZero() {
		return 0, 0
	}
	age := math.Max(now.Sub(m.first).Seconds(), minHistory.Seconds())
	seen := life * (1 - math.Exp(-age/life))
	factor := math.Exp(-math.Max(now.Sub(m.last).Seconds(), 0)/life) / seen
	return m.count * factor, m.busy * factor
}

// minHistory is the shortest history that rates are computed from, so that the
// first request of a shard does not look like a high rate.
const minHistory = time.Second
