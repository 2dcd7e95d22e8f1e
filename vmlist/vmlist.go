// Package vmlist is the interface to the platform's list of live and leaving
// VMs. The list lags in both directions and may be wrong: package membership
// decides what to believe. Drivers live in modules/vms*; the contract that
// every driver must meet is tested by vmlist/vmlisttest.
package vmlist

import (
	"context"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Role says what runs on a VM.
type Role string

// Roles.
const (
	RoleEntry  Role = "entry"  // an entry VM; its ID is its node ID
	RoleServer Role = "server" // a backend server; its ID is its server ID
)

// Phase is what the platform says of a VM's life cycle.
type Phase string

// Phases.
const (
	PhaseLive    Phase = "live"
	PhaseLeaving Phase = "leaving" // still runs, will be stopped
	PhaseGone    Phase = "gone"    // has been stopped
)

// VM is one row of the list.
type VM struct {
	ID      string
	Role    Role
	Service topo.Service // of a server
	Zone    topo.Zone
	Region  topo.Region
	Address string // of a server, host:port; an entry VM tells its own in the log
	Phase   Phase
}

// List reads the platform's list. Errors are *UnavailableError,
// *MalformedError or the context's error; with an error there are no VMs, and
// nothing follows from their absence.
type List interface {
	// VMs returns the list as the platform has it now, each ID once, in order
	// of ID.
	VMs(ctx context.Context) ([]VM, error)
}

// UnavailableError reports that the list could not be read.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return "VM list unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MalformedError reports an answer that is no VM list.
type MalformedError struct{ Problem string }

// Error implements error.
func (e *MalformedError) Error() string { return "VM list malformed: " + e.Problem }
