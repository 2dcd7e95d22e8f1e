// Package vmlist defines the interface to the platform's list of live and leaving
// VMs. The list may show or omit VMs late and may be wrong; package membership
// decides which rows to trust. Drivers are in modules/vms*; vmlist/vmlisttest
// tests the contract that every driver must meet.
package vmlist

import (
	"context"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Role is the kind of process that runs on a VM.
type Role string

// Roles.
const (
	RoleEntry  Role = "entry"  // an entry VM; its ID is its node ID
	RoleServer Role = "server" // a backend server; its ID is its server ID
)

// Phase is the phase of a VM's life cycle as reported by the platform.
type Phase string

// Phases.
const (
	PhaseLive    Phase = "live"
	PhaseLeaving Phase = "leaving" // still running, will be stopped
	PhaseGone    Phase = "gone"    // stopped
)

// VM is one row of the list.
type VM struct {
	ID      string
	Role    Role
	Service topo.Service // set for a server
	Zone    topo.Zone
	Region  topo.Region
	Address string // host:port of a server; an entry VM publishes its own address in the log
	Phase   Phase
}

// List reads the platform's list. Errors are *UnavailableError,
// *MalformedError or the context's error. An error comes without VMs; their
// absence must not be taken as evidence that they stopped.
type List interface {
	// VMs returns the platform's current list, with each ID once, sorted by ID.
	VMs(ctx context.Context) ([]VM, error)
}

// UnavailableError reports that the list could not be read.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return "VM list unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MalformedError reports a response that is not a VM list.
type MalformedError struct{ Problem string }

// Error implements error.
func (e *MalformedError) Error() string { return "VM list malformed: " + e.Problem }
