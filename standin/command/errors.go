package command

import "strconv"

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ServeError reports that serving ended before its context did.
type ServeError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ServeError) Error() string { return "serving " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// AnnounceError reports that a request to the stand-in VM list about a server's row
// failed.
type AnnounceError struct {
	URL    string
	Status int // 0 without a response
	Cause  error
}

// Error implements error.
func (e *AnnounceError) Error() string {
	text := "stand-in VM list " + e.URL + ": "
	if e.Cause != nil {
		return text + e.Cause.Error()
	}
	return text + "status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *AnnounceError) Unwrap() error { return e.Cause }
