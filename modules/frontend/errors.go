package frontend

import "fmt"

// ListenError reports that the callers' listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// BuildError reports that the HTTP routes could not be set up.
type BuildError struct{ Cause error }

// Error implements error.
func (e *BuildError) Error() string { return "front end routes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }
