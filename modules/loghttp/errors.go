package loghttp

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/platlog/logwire"
	"github.com/burdockspindle/burdockspindle/topo"
)

// StatusError reports an answer of the log service that refuses a request.
type StatusError struct {
	Status      int
	Code        logwire.Code // empty when the answer was not the service's own
	Message     string
	NotAppended bool        // the service said that nothing was appended
	First       topo.Offset // with logwire.CodeTruncated
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered %d %s: %s", e.Status, e.Code, e.Message)
}

// ProtocolError reports an answer that breaks the protocol.
type ProtocolError struct {
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *ProtocolError) Error() string {
	if e.Cause == nil {
		return "log service: " + e.Problem
	}
	return "log service: " + e.Problem + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// OptionError reports an option that is missing or cannot be used.
type OptionError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("log.http: option %q: %s", e.Option, e.Problem)
}
