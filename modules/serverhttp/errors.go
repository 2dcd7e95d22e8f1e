package serverhttp

import (
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// OptionError reports an invalid option.
type OptionError struct {
	Name    string
	Problem string
}

// Error implements error.
func (e *OptionError) Error() string { return "servers.http: option " + e.Name + ": " + e.Problem }

// StalledError reports a connection that made no progress within the timeout After.
type StalledError struct{ After time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return "no progress for " + e.After.String() }

// MismatchedResponseError reports a response that does not carry its request's ID. It
// may belong to another caller's request and is never passed on.
type MismatchedResponseError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return "answer carries request ID " + strconv.Quote(e.Got) + " and not " + strconv.Quote(e.Want)
}

// UnboundedResponseError reports a response that would end with its connection, so
// that an incomplete response is undetectable.
type UnboundedResponseError struct{ Status int }

// Error implements error.
func (e *UnboundedResponseError) Error() string {
	return "answer " + strconv.Itoa(e.Status) + " has neither a length nor chunks"
}

// ProtocolError reports a response that violates the protocol of package
// serverapi.
type ProtocolError struct{ Problem string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol broken: " + e.Problem }

// OtherServerError reports that another server now has the address. The intended
// server has not responded.
type OtherServerError struct{}

// Error implements error.
func (*OtherServerError) Error() string { return "the address is another server's" }

// StatusError reports a lease or acknowledge call that was answered with a status
// that the protocol does not define.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "answered with status " + strconv.Itoa(e.Status) }

// ShareError reports that all connections of this process's share of a server
// are in use, or that it has no share.
type ShareError struct {
	Server topo.ServerID
	Share  int
}

// Error implements error.
func (e *ShareError) Error() string {
	return "no connection left of the share of " + strconv.Itoa(e.Share)
}

// LocalLimit implements backend.LocalError.
func (e *ShareError) LocalLimit() {}

// DeadlineError reports a request that was not sent because its deadline had passed.
type DeadlineError struct{}

// Error implements error.
func (*DeadlineError) Error() string { return "deadline passed before it was sent" }

// RequestError reports a request that cannot be written as HTTP.
type RequestError struct{ Cause error }

// Error implements error.
func (e *RequestError) Error() string { return "request not valid: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// DialError reports a connection that could not be opened.
type DialError struct{ Cause error }

// Error implements error.
func (e *DialError) Error() string { return "connect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }
