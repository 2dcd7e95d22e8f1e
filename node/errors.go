package node

// BootIDError reports that the system's random source failed.
type BootIDError struct{ Cause error }

// Error implements error.
func (e *BootIDError) Error() string { return "boot ID: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BootIDError) Unwrap() error { return e.Cause }
