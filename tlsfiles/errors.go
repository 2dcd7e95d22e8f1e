package tlsfiles

// ReadError reports a file that cannot be read or used.
type ReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return "TLS file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// NoCertificateError reports that no certificate was found or shown.
type NoCertificateError struct{}

// Error implements error.
func (e *NoCertificateError) Error() string { return "no certificate" }

// UntrustedError reports a certificate that the current authorities did not
// sign, or that has expired.
type UntrustedError struct {
	Subject string
	Cause   error
}

// Error implements error.
func (e *UntrustedError) Error() string {
	return "certificate of " + e.Subject + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UntrustedError) Unwrap() error { return e.Cause }
