package callerapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// ParseDeadline parses HeaderDeadlineMs; an absent header yields 0. Errors are
// *HeaderError.
func ParseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil || ms == 0 {
		return 0, &HeaderError{Header: HeaderDeadlineMs, Reason: ReasonBadDeadline}
	}
	if ms > uint64(MaxDeadline/time.Millisecond) {
		return MaxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// ParseHop parses HeaderHop; an absent header yields 0. Errors are *HeaderError.
func ParseHop(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	hop, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, &HeaderError{Header: HeaderHop, Reason: ReasonBadHop}
	}
	if hop > MaxHops {
		return 0, &HeaderError{Header: HeaderHop, Reason: ReasonTooManyHops}
	}
	return int(hop), nil
}

// ParseCaller parses HeaderCaller; all callers without the header have the empty
// name. Errors are *HeaderError.
func ParseCaller(text string) (string, error) {
	if len(text) > MaxCallerBytes {
		return "", &HeaderError{Header: HeaderCaller, Reason: ReasonBadCaller}
	}
	return text, nil
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// Forwardable returns a copy of a message's headers without hop-by-hop headers and
// without this project's own headers.
func Forwardable(header http.Header) http.Header {
	named := connectionNamed(header)
	passed := make(http.Header, len(header))
	for name, values := range header {
		if hopByHop[name] || named[name] || strings.HasPrefix(name, HeaderPrefix) {
			continue
		}
		passed[name] = values
	}
	return passed
}

// connectionNamed returns the headers that the Connection header lists.
func connectionNamed(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// RetryAfterSeconds formats a duration for the Retry-After header: whole seconds,
// rounded up, at least 1.
func RetryAfterSeconds(wait time.Duration) string {
	seconds := int64((wait + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// HeaderError reports an invalid header.
type HeaderError struct {
	Header string
	Reason serverapi.Reason
}

// Error implements error.
func (e *HeaderError) Error() string { return e.Header + ": " + string(e.Reason) }
