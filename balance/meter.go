package balance

import "time"

// Meter is a token bucket that turns a rate of moves into the budget of each
// decision. It holds at most Burst tokens. The zero Meter allows nothing.
type Meter struct {
	PerMinute  float64 // moves per minute
	Burst      float64 // maximum number of moves in the bucket
	tokens     float64
	lastRefill time.Time
}

// NewMeter returns a full meter.
func NewMeter(perMinute, burst float64, now time.Time) *Meter {
	return &Meter{PerMinute: perMinute, Burst: burst, tokens: burst, lastRefill: now}
}

// Allowed returns how many moves may be made now.
func (m *Meter) Allowed(now time.Time) int {
	if passed := now.Sub(m.lastRefill); passed > 0 {
		m.tokens = min(m.Burst, m.tokens+m.PerMinute*passed.Minutes())
		m.lastRefill = now
	}
	return int(m.tokens)
}

// Spend removes one token for each move that was made.
func (m *Meter) Spend(moves int) { m.tokens -= float64(moves) }
