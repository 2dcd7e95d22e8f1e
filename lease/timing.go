// Package lease implements the lease protocol between a lessor and a backend
// server: the longest duration of a lease (Timing), the time until which the
// granter must treat a lease as valid (Granter), and the server's side (Holder).
// The package is pure: the time is an argument of every call.
//
// A renewal echoes the server's own time stamp from an earlier reply, and the
// lease is measured from that stamp on the server's clock. A renewal that is
// delayed in flight therefore never extends a lease past the end that the granter
// tracks.
package lease

import "time"

// partsPerMillion is the unit of Timing.DriftPPM.
const partsPerMillion = 1_000_000

// Timing has the parameters that granter and server must agree on.
type Timing struct {
	// TTL is the duration of a lease, measured from the stamp that its renewal
	// echoes.
	TTL time.Duration
	// Margin is added to every wait to cover the granularity of clocks and timers.
	Margin time.Duration
	// DriftPPM bounds how much faster the granter's clock may run than the
	// server's, in parts per million: while the server's clock advances by d, the
	// granter's advances by at most d × (1 + drift).
	DriftPPM int
}

// ExpiryWait returns how long after the receipt of a reply the granter must wait
// until a lease measured from that reply's stamp has certainly expired:
// TTL × (1 + drift) + margin.
func (t Timing) ExpiryWait() time.Duration { return t.stretch(t.TTL) + t.Margin }

// stretch returns the longest time on the granter's clock that d on the
// server's clock may take, rounded up.
func (t Timing) stretch(d time.Duration) time.Duration {
	extra := (int64(d)*int64(t.DriftPPM) + partsPerMillion - 1) / partsPerMillion
	return d + time.Duration(extra)
}

// Validate returns a *TimingError if the values are invalid or incompatible with
// renewals sent every renewEvery.
func (t Timing) Validate(renewEvery time.Duration) error {
	switch {
	case t.TTL <= 0:
		return &TimingError{Problem: "TTL must be positive"}
	case t.Margin < 0:
		return &TimingError{Problem: "margin must not be negative"}
	case t.DriftPPM < 0 || t.DriftPPM >= partsPerMillion:
		return &TimingError{Problem: "drift must be at least 0 and below 1000000 ppm"}
	case renewEvery <= 0 || 2*renewEvery > t.TTL:
		return &TimingError{Problem: "at least two renewals must fit in one TTL"}
	}
	return nil
}

// TimingError reports invalid timing values.
type TimingError struct{ Problem string }

// Error implements error.
func (e *TimingError) Error() string { return "lease timing: " + e.Problem }
