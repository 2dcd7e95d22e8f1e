package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Config is the fixed configuration of a Member.
type Config struct {
	Node  topo.NodeID
	Boot  topo.BootID
	Zone  topo.Zone
	Group topo.GroupID
	Lease lease.Timing

	RenewEvery     time.Duration // interval between two renewals of one lease
	HeartbeatEvery time.Duration // interval between two heartbeats, or probes
	SuspectAfter   time.Duration // time without a reply after which another node is suspected
	// StandInAfter is the additional delay of each further node before it
	// claims a group in place of the nodes ahead of it.
	StandInAfter time.Duration
	// RetryAfter is the delay before a failed operation is retried.
	RetryAfter time.Duration
	// MoveTimeout bounds how long a planned move waits for the owner.
	MoveTimeout time.Duration
}

// suspectFailures is the number of consecutive failed attempts, the last of
// them over a new connection, after which a server is suspected.
const suspectFailures = 2

// promptRenewalsPerInterval divides the renewal interval: a renewal that carries changes
// for its server follows the previous one after that fraction.
const promptRenewalsPerInterval = 25

// maxAssignments bounds the assignments in one record.
const maxAssignments = 512

// maxAutomaticMoves bounds the shards of the group that are moved concurrently
// because their servers drain or their service retires.
const maxAutomaticMoves = 128

// expiryWait returns how long to wait on this clock until a duration d has
// passed on another process's clock.
func (c Config) expiryWait(d time.Duration) time.Duration {
	extra := (d/1_000_000 + 1) * time.Duration(c.Lease.DriftPPM)
	return d + extra + c.Lease.Margin
}
