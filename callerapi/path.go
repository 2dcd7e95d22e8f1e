package callerapi

import (
	"net/url"
	"strings"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Path segments below a service.
const (
	segmentKeys     = "keys"
	segmentRequests = "requests"
	segmentTickets  = "tickets"
)

// Target is a parsed request path.
type Target struct {
	Service topo.Service
	Keyed   bool   // whether the path has a key
	Key     string // any bytes; not empty if Keyed
	Ticket  bool   // whether the request is for a ticket
	// Rest is the path at the server, still escaped, without a leading slash and
	// without the query.
	Rest string
}

// KeyedPath returns the escaped path of a request to a key's owner. Rest is the
// escaped path at the server, with or without a leading slash.
func KeyedPath(service topo.Service, key, rest string) string {
	return servicePath(service) + "/" + segmentKeys + "/" + url.PathEscape(key) +
		"/" + segmentRequests + "/" + strings.TrimPrefix(rest, "/")
}

// UnkeyedPath returns the escaped path of a request to any server of a service.
func UnkeyedPath(service topo.Service, rest string) string {
	return servicePath(service) + "/" + segmentRequests + "/" + strings.TrimPrefix(rest, "/")
}

// TicketPath returns the escaped path that issues a ticket for a key.
func TicketPath(service topo.Service, key string) string {
	return servicePath(service) + "/" + segmentKeys + "/" + url.PathEscape(key) + "/" + segmentTickets
}

// UnkeyedTicketPath returns the escaped path that issues a ticket for a service
// that is not sharded by key.
func UnkeyedTicketPath(service topo.Service) string {
	return servicePath(service) + "/" + segmentTickets
}

func servicePath(service topo.Service) string {
	return PathServices + url.PathEscape(string(service))
}

// ParsePath parses an escaped request path. Errors are *PathError.
func ParsePath(escaped string) (Target, error) {
	tail, found := strings.CutPrefix(escaped, PathServices)
	if !found {
		return Target{}, &PathError{Reason: ReasonNoSuchPath}
	}
	segment, tail, _ := strings.Cut(tail, "/")
	service, err := url.PathUnescape(segment)
	if err != nil || service == "" {
		return Target{}, &PathError{Reason: ReasonUnknownService}
	}
	target := Target{Service: topo.Service(service)}
	if rest, keyed := strings.CutPrefix(tail, segmentKeys+"/"); keyed {
		tail, err = target.parseKey(rest)
		if err != nil {
			return Target{}, err
		}
	}
	return target.parseVerb(tail)
}

// parseKey parses the key's segment and returns the rest of the path.
func (t *Target) parseKey(tail string) (string, error) {
	segment, rest, _ := strings.Cut(tail, "/")
	key, err := url.PathUnescape(segment)
	switch {
	case err != nil:
		return "", &PathError{Reason: ReasonBadKey}
	case key == "":
		return "", &PathError{Reason: ReasonMissingKey}
	case len(key) > MaxKeyBytes:
		return "", &PathError{Reason: ReasonBadKey}
	}
	t.Keyed = true
	t.Key = key
	return rest, nil
}

func (t *Target) parseVerb(tail string) (Target, error) {
	verb, rest, _ := strings.Cut(tail, "/")
	switch {
	case verb == segmentTickets && rest == "":
		t.Ticket = true
	case verb == segmentRequests:
		if !safeRest(rest) {
			return Target{}, &PathError{Reason: ReasonBadPath}
		}
		t.Rest = rest
	default:
		return Target{}, &PathError{Reason: ReasonNoSuchPath}
	}
	return *t, nil
}

// safeRest rejects escapes that cannot be decoded, and dot segments, with which a
// caller could escape from the subtree that a backend server serves to callers and
// reach its ownership paths.
func safeRest(rest string) bool {
	decoded, err := url.PathUnescape(rest)
	if err != nil {
		return false
	}
	for segment := range strings.FieldsFuncSeq(decoded, isSeparator) {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func isSeparator(r rune) bool { return r == '/' || r == '\\' }

// PathError reports an invalid request path.
type PathError struct{ Reason serverapi.Reason }

// Error implements error.
func (e *PathError) Error() string { return "request path: " + string(e.Reason) }
