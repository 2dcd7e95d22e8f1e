package cli

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command failed, or a check found a violation
	ExitUsage    = 2 // invalid arguments
	ExitConflict = 3 // publish: the base version is no longer in force
)

// ExitCoder is an error that determines the program's exit code.
type ExitCoder interface {
	error
	ExitCode() int
}

// UsageError reports invalid arguments.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// ExitCode implements ExitCoder.
func (e *UsageError) ExitCode() int { return ExitUsage }

// DuplicateCommandError reports a command name that was registered twice.
type DuplicateCommandError struct{ Name string }

// Error implements error.
func (e *DuplicateCommandError) Error() string { return "command " + e.Name + ": registered twice" }

// FileError reports a file that cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": cannot be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// OutputError reports that a command's output could not be written.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string { return "output: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }
