package adminapi

import "strconv"

// AddressError reports an invalid base URL.
type AddressError struct{ URL string }

// Error implements error.
func (e *AddressError) Error() string {
	return "administration address must be http://HOST:PORT or https://HOST:PORT, not " + strconv.Quote(e.URL)
}

// CallError reports a call without a complete response.
type CallError struct {
	Path string
	// Sent is false only if it is proven that nothing was sent.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return e.Path + ": no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// StatusError reports a response that is not from the API.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string { return "not an answer of the administration API: " + e.Status }

// UnknownError reports a publication that may have been accepted.
type UnknownError struct{ Cause error }

// Error implements error.
func (e *UnknownError) Error() string {
	return "the text may have been accepted; read the site configuration in force before publishing again: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
