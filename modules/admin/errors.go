package admin

// ListenError reports an administration address that cannot be listened on.
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

// BuildError reports that the HTTP routes could not be set up.
type BuildError struct{ Cause error }

// Error implements error.
func (e *BuildError) Error() string { return "administration routes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// NoTokenError reports an administration API without a token.
type NoTokenError struct{}

// Error implements error.
func (e *NoTokenError) Error() string { return "no administration API without a token" }
