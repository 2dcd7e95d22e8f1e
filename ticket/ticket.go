// Package ticket implements at-most-once execution: the tickets that entry nodes
// issue as idempotency keys, and the bounded Record with which the process that
// runs requests ensures that a ticket never runs twice. The package has no clock
// and no source of randomness; callers pass both as arguments.
//
// A ticket names the ownership in force when it was issued. The owner runs it
// only under the same ownership and only if its record does not contain it, so a
// ticket that an earlier owner may have run is never run by a later owner.
package ticket

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/topo"
)

// ScopeKind is the kind of scope that a ticket is bound to.
type ScopeKind byte

// Scope kinds.
const (
	// ScopeFence binds to one ownership of a shard; its owner keeps the record.
	ScopeFence ScopeKind = 'f'
	// ScopeTerm binds to one lessor's term, for services whose servers do not
	// check fences; the lessor, as the only sender, keeps the record.
	ScopeTerm ScopeKind = 't'
)

// Scope is the ownership or term that a ticket is bound to.
type Scope struct {
	Kind    ScopeKind
	Ordinal topo.Ordinal
}

// FenceScope returns the scope of one ownership of a shard.
func FenceScope(fence topo.Fence) Scope { return Scope{Kind: ScopeFence, Ordinal: fence.Ordinal} }

// TermScope returns the scope of one lessor's term.
func TermScope(term topo.Term) Scope { return Scope{Kind: ScopeTerm, Ordinal: term.Ordinal} }

// Issuer identifies the incarnation of the entry node that issued a ticket.
type Issuer struct {
	Node topo.NodeID
	Boot topo.BootID
	// StartMillis is the start time of the incarnation, in Unix milliseconds by its own
	// clock. It is used only to order issuers by age.
	StartMillis int64
}

// Ticket is an idempotency key issued by an entry node.
type Ticket struct {
	Scope    Scope
	Issuer   Issuer
	Sequence uint64 // number of the ticket, from 1, for the issuer
	Subject  uint64 // SubjectOf the service and key
	Random   uint64 // makes the ticket unpredictable
}

// SubjectOf returns the digest that binds a ticket to a service and key.
func SubjectOf(service topo.Service, key string) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + key)
}

const (
	formatName = "bs1"
	separator  = "-"
	fieldCount = 8
	hexBase    = 16
	// MaxLength is the maximum length of a ticket's text in bytes.
	MaxLength = 512
)

// String renders the ticket as the value of an Idempotency-Key header, without
// the quotation marks.
func (t Ticket) String() string {
	fields := []string{
		formatName,
		string(t.Scope.Kind) + t.Scope.Ordinal.String(),
		strconv.FormatUint(t.Sequence, 10),
		strconv.FormatUint(t.Subject, hexBase),
		strconv.FormatUint(t.Random, hexBase),
		strconv.FormatInt(t.Issuer.StartMillis, 10),
		string(t.Issuer.Boot),
		string(t.Issuer.Node),
	}
	return strings.Join(fields, separator)
}

// Parse parses the value of an Idempotency-Key header: the result of String,
// with or without the quotation marks that the header's specification requires.
// The error is a *ParseError.
func Parse(text string) (Ticket, error) {
	fail := func(problem string) (Ticket, error) {
		return Ticket{}, &ParseError{Problem: problem}
	}
	if len(text) > MaxLength {
		return fail("too long")
	}
	fields := strings.SplitN(unquote(text), separator, fieldCount)
	if len(fields) != fieldCount || fields[0] != formatName {
		return fail("not issued by an entry node")
	}
	var t Ticket
	var err error
	if t.Scope, err = parseScope(fields[1]); err != nil {
		return fail("scope")
	}
	if t.Sequence, err = strconv.ParseUint(fields[2], 10, 64); err != nil || t.Sequence == 0 {
		return fail("sequence")
	}
	if t.Subject, err = strconv.ParseUint(fields[3], hexBase, 64); err != nil {
		return fail("subject")
	}
	if t.Random, err = strconv.ParseUint(fields[4], hexBase, 64); err != nil {
		return fail("random")
	}
	if t.Issuer.StartMillis, err = strconv.ParseInt(fields[5], 10, 64); err != nil || t.Issuer.StartMillis < 0 {
		return fail("start time")
	}
	t.Issuer.Boot = topo.BootID(fields[6])
	t.Issuer.Node = topo.NodeID(fields[7])
	if !validName(fields[6]) || !validName(fields[7]) {
		return fail("issuer")
	}
	return checkCanonical(t, text)
}

// checkCanonical rejects a second spelling of a ticket, because code that
// compares the text would treat it as another ticket.
func checkCanonical(t Ticket, text string) (Ticket, error) {
	if t.String() != unquote(text) {
		return Ticket{}, &ParseError{Problem: "not in canonical form"}
	}
	return t, nil
}

func unquote(text string) string {
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		return text[1 : len(text)-1]
	}
	return text
}

func parseScope(text string) (Scope, error) {
	if text == "" {
		return Scope{}, &ParseError{Problem: "scope"}
	}
	kind := ScopeKind(text[0])
	var ordinal topo.Ordinal
	switch kind {
	case ScopeFence:
		fence, err := topo.ParseFence(text[1:])
		if err != nil {
			return Scope{}, err
		}
		ordinal = fence.Ordinal
	case ScopeTerm:
		term, err := topo.ParseTerm(text[1:])
		if err != nil {
			return Scope{}, err
		}
		ordinal = term.Ordinal
	default:
		return Scope{}, &ParseError{Problem: "scope"}
	}
	return Scope{Kind: kind, Ordinal: ordinal}, nil
}

// validName reports whether a name is not empty and has only characters that are
// allowed in a header's quoted string.
func validName(name string) bool {
	for _, char := range []byte(name) {
		if char <= ' ' || char >= 0x7f || char == '"' || char == '\\' {
			return false
		}
	}
	return name != ""
}

// ParseError reports text that is not a ticket.
type ParseError struct{ Problem string }

// Error implements error.
func (e *ParseError) Error() string { return "ticket: " + e.Problem }
