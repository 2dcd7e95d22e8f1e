package ticket

import (
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Source issues the tickets of one incarnation of an entry node. It is safe for
// concurrent use if its random function is.
type Source struct {
	issuer   Issuer
	random   func() uint64
	sequence atomic.Uint64
}

// NewSource returns a source for one incarnation of a node. A boot must never be
// used by two sources, and its characters must be printable ASCII without
// spaces, quotation marks, backslashes and hyphens. The results of random must
// be unpredictable for callers.
func NewSource(issuer Issuer, random func() uint64) (*Source, error) {
	source := &Source{issuer: issuer, random: random}
	sample := Ticket{Scope: Scope{Kind: ScopeFence}, Issuer: issuer, Sequence: 1}
	if read, err := Parse(sample.String()); err != nil || read != sample {
		return nil, &IssuerError{Issuer: issuer}
	}
	return source, nil
}

// Issue returns a new ticket for a key under the ownership or term in force.
func (s *Source) Issue(scope Scope, service topo.Service, key string) Ticket {
	return Ticket{
		Scope:    scope,
		Issuer:   s.issuer,
		Sequence: s.sequence.Add(1),
		Subject:  SubjectOf(service, key),
		Random:   s.random(),
	}
}

// Issued returns the number of issued tickets.
func (s *Source) Issued() uint64 { return s.sequence.Load() }

// IssuerError reports a node or boot name that is not allowed in a ticket.
type IssuerError struct{ Issuer Issuer }

// Error implements error.
func (e *IssuerError) Error() string {
	return "ticket issuer: cannot use node " + string(e.Issuer.Node) + " and boot " + string(e.Issuer.Boot)
}
