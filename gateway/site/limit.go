package site

import "time"

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
