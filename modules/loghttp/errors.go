package loghttp

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/platlog/logwire"
	"github.com/burdockspindle/burdockspindle/topo"
)

// StatusError reports a response of the log service that rejects a request.
type StatusError struct {
	Status      int
	Code        logwire.Code // empty if the response did not come from the log service
	Message     string
	NotAppended bool        // the service reported that nothing was appended
	First       topo.Offset // first offset in the log; set with logwire.CodeTruncated
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service returned status %d %s: %s", e.Status, e.Code, e.Message)
}

// ProtocolError reports a response that violates the log protocol.
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

// OptionError reports a module option that is missing, unknown or invalid.
type OptionError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("log.http: option %q: %s", e.Option, e.Problem)
}
