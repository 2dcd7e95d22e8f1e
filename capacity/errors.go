package capacity

// RejectedError reports that a record of the measurement was not accepted, so that
// the measured cost would not be that of an accepted record.
type RejectedError struct{ Record string }

// Error implements error.
func (e *RejectedError) Error() string { return "capacity: record not accepted: " + e.Record }

// SiteError reports that a site could not be measured.
type SiteError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *SiteError) Error() string { return "capacity: site: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SiteError) Unwrap() error { return e.Cause }

// SaveError reports that an output file could not be written.
type SaveError struct{ Cause error }

// Error implements error.
func (e *SaveError) Error() string { return "capacity: save: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SaveError) Unwrap() error { return e.Cause }
