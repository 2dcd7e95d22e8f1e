package tlsfiles

// ReadError reports a file that cannot be read or is invalid.
type ReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return "TLS file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a file contains no certificate or that a peer
// presented none.
type NoCertificateError struct{}

// Error implements error.
func (e *NoCertificateError) Error() string { return "no certificate" }

// UntrustedError reports a certificate that is not signed by a current authority
// or has expired.
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
