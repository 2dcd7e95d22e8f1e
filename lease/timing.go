// Package lease holds the rules of leases between a lessor and a backend
// server: how long a lease lasts at most (Timing), what the granter must count
// before it treats a lease as lapsed (Granter), and what a server must do
// (Holder). Everything here is pure: the time comes in as an argument.
//
// A renewal echoes the server's own time stamp from an earlier reply, and the
// lease runs from that stamp on the server's clock. A renewal that is delayed
// on its way therefore never lengthens a lease past what the granter counts.
package lease

import "time"

// partsPerMillion is the unit of Timing.DriftPPM.
const partsPerMillion = 1_000_000

// Timing holds what granter and server must agree on.
type Timing struct {
	// TTL is how long a lease lasts from the stamp that its renewal echoes.
	TTL time.Duration
	// Margin is added to every wait, for the granularity of clocks and timers.
	Margin time.Duration
	// DriftPPM bounds how much faster the granter's clock may run than the
	// server's, in parts per million: while the server's clock counts d, the
	// granter's counts at most d × (1 + drift).
	DriftPPM int
}

// LapseWait returns how long after it received a reply the granter must wait
// until a lease that runs from that reply's stamp has surely ended:
// TTL × (1 + drift) + margin.
func (t Timing) LapseWait() time.Duration { return t.stretch(t.TTL) + t.Margin }

// stretch returns the longest time on the granter's clock that d on the
// server's clock may take, rounded up.
func (t Timing) stretch(d time.Duration) time.Duration {
	extra := (int64(d)*int64(t.DriftPPM) + partsPerMillion - 1) / partsPerMillion
	return d + time.Duration(extra)
}

// Validate returns a *TimingError when the values cannot work together with
// renewals sent every renewEvery.
func (t Timing) Validate(renewEvery time.Duration) error {
	switch {
	case t.TTL <= 0:
		return &TimingError{Problem: "TTL must be above 0"}
	case t.Margin < 0:
		return &TimingError{Problem: "margin must not be below 0"}
	case t.DriftPPM < 0 || t.DriftPPM >= partsPerMillion:
		return &TimingError{Problem: "drift must be at least 0 and below 1000000 ppm"}
	case renewEvery <= 0 || 2*renewEvery > t.TTL:
		return &TimingError{Problem: "at least two renewals must fit in one TTL"}
	}
	return nil
}

// TimingError reports timing values that cannot work.
type TimingError struct{ Problem string }

// Error implements error.
func (e *TimingError) Error() string { return "lease timing: " + e.Problem }
