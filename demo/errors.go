package demo

import (
	"strings"

	"github.com/burdockspindle/burdockspindle/topo"
)

// DeploymentError reports an unknown deployment.
type DeploymentError struct{ Name string }

// Error implements error.
func (e *DeploymentError) Error() string {
	return "deployment " + e.Name + ": unknown; known deployments are kavango and urbion"
}

// PublishError reports that the publication of the site configuration was rejected.
type PublishError struct{ Conflict string }

// Error implements error.
func (e *PublishError) Error() string { return "publish site configuration: " + e.Conflict }

// NotReadyError reports a site that is not ready in time.
type NotReadyError struct {
	Missing string // the unmet condition
	Cause   error
}

// Error implements error.
func (e *NotReadyError) Error() string { return "site not ready: " + e.Missing }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// ServerError reports a stand-in server that cannot be started.
type ServerError struct {
	Server topo.ServerID
	Cause  error
}

// Error implements error.
func (e *ServerError) Error() string { return "server " + string(e.Server) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServerError) Unwrap() error { return e.Cause }

// OneServiceError reports a site without a second service.
type OneServiceError struct{}

// Error implements error.
func (*OneServiceError) Error() string { return "the site has only one service" }

// ViolationError reports violated invariants, or a run without any answered request.
type ViolationError struct{ Violations []string }

// Error implements error.
func (e *ViolationError) Error() string {
	if len(e.Violations) == 0 {
		return "nothing was answered"
	}
	return "violated:\n  " + strings.Join(e.Violations, "\n  ")
}
