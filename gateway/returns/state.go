package returns

import "time"

// State is a schedule as the state dump shows it.
type State struct {
	Admitted float64 `json:"admittedPerSecond"`
	Firsts   float64 `json:"firstAttemptsPerSecond"`
	// Promised is the room that has been promised to callers from now on, in requests.
	Promised float64 `json:"promised"`
}

// State returns the measured rates and the promises that are not due yet.
func (s *Schedule) State(now time.Time) State {
	state := State{Admitted: s.admitted.perSecond(now), Firsts: s.firsts.perSecond(now)}
	if s.origin.IsZero() {
		return state
	}
	s.advance(now)
	for _, taken := range s.taken {
		state.Promised += taken
	}
	return state
}
