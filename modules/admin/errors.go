package admin

// ListenError reports a failure to listen on the administration address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "administration listener " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// BuildError reports a failure to set up the HTTP routes.
type BuildError struct{ Cause error }

// Error implements error.
func (e *BuildError) Error() string { return "administration routes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// NoTokenError reports that the settings contain no token for the administration
// API.
type NoTokenError struct{}

// Error implements error.
func (e *NoTokenError) Error() string { return "the administration API requires a token" }
