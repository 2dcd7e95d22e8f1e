package kernel

import "fmt"

// RegistrationError reports a module that cannot be registered.
type RegistrationError struct {
	ID      ModuleID
	Problem string
}

// Error implements error.
func (e *RegistrationError) Error() string {
	return fmt.Sprintf("module %q: %s", e.ID, e.Problem)
}

// UnknownModuleError reports an ID under which no module is registered.
type UnknownModuleError struct{ ID ModuleID }

// Error implements error.
func (e *UnknownModuleError) Error() string { return fmt.Sprintf("module %q: not known", e.ID) }

// StepError reports a failed life-cycle step of a module.
type StepError struct {
	ID    ModuleID
	Step  string // "provision", "validate", "start", "drain" or "stop"
	Cause error
}

// Error implements error.
func (e *StepError) Error() string { return fmt.Sprintf("module %q: %s: %v", e.ID, e.Step, e.Cause) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// MissingServiceError reports a service that no earlier module provided.
type MissingServiceError struct{ Type string }

// Error implements error.
func (e *MissingServiceError) Error() string {
	return fmt.Sprintf("service %s: not provided by any module", e.Type)
}

// DuplicateServiceError reports a service that two modules provided.
type DuplicateServiceError struct{ Type string }

// Error implements error.
func (e *DuplicateServiceError) Error() string {
	return fmt.Sprintf("service %s: provided twice", e.Type)
}
