package site

import "time"

// Notice is what an answer of a server says of the server itself.
type Notice struct {
	Load *Load // nil: not reported
	// Limit is the number of requests that the server takes, or that it has no limit; nil: the answer says
	// neither.
	Limit *NamedLimit
	// IsLeaving reports that this incarnation of the server is about to end. No later answer takes it back.
	IsLeaving bool
	// Rest is for how long the server wants no requests of this node; 0: it asks for no rest.
	Rest time.Duration
}

// NamedLimit is what an answer of a server says of the requests that it takes from all nodes together.
type NamedLimit struct {
	Rate    float64   // requests a second
	IsNamed bool      // false: the server has no limit
	At      time.Time // when the answer arrived, by this node's clock
}

// Equals reports whether two answers say the same.
func (l NamedLimit) Equals(other NamedLimit) bool {
	return l.IsNamed == other.IsNamed && (!l.IsNamed || l.Rate == other.Rate)
}
