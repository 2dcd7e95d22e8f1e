package experiment

import (
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/topo"
)

// exitUsage is the exit code for wrong arguments, as package cli defines it.
const exitUsage = 2

// UnknownScenarioError reports a name that is neither an embedded scenario nor a file.
type UnknownScenarioError struct {
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownScenarioError) Error() string {
	return "scenario " + e.Name + ": not known; embedded: " + strings.Join(e.Known, ", ")
}

// ExitCode returns the exit code for wrong arguments.
func (e *UnknownScenarioError) ExitCode() int { return exitUsage }

// UnknownNameError reports a policy, picker or deployment that does not exist.
type UnknownNameError struct {
	Kind  string // "policy", "pick" or "deployment"
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return e.Kind + " " + e.Name + ": not known; there are " + strings.Join(e.Known, ", ")
}

// ExitCode returns the exit code for wrong arguments.
func (e *UnknownNameError) ExitCode() int { return exitUsage }

// UnknownServiceError reports a service that the deployment does not have.
type UnknownServiceError struct {
	Service  topo.Service
	Scenario string
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return "scenario " + e.Scenario + ": the deployment has no service " + string(e.Service)
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// OutputError reports that results could not be written.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string { return "output: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

// EntryNodesError reports a number of entry nodes outside the allowed range.
type EntryNodesError struct{ Given int }

// Error implements error.
func (e *EntryNodesError) Error() string {
	return "entry nodes in each zone: " + strconv.Itoa(e.Given) + " is not between 0 and " + strconv.Itoa(maxEntryNodes)
}
