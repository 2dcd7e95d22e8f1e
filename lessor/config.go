package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Config is what a Member knows from the start.
type Config struct {
	Node  topo.NodeID
	Boot  topo.BootID
	Zone  topo.Zone
	Group topo.GroupID
	Lease lease.Timing

	RenewEvery     time.Duration // between two renewals of one lease
	HeartbeatEvery time.Duration // between two heartbeats, or probes
	SuspectAfter   time.Duration // silence after which another node is suspected
	// StandInAfter is how much longer each further node waits before it claims
	// a group in place of those ahead of it.
	StandInAfter time.Duration
	// RetryAfter is the pause before something that failed is tried again.
	RetryAfter time.Duration
	// MoveTimeout bounds how long a planned move waits for the owner.
	MoveTimeout time.Duration
}

// Failed attempts in a row, the last of them over a new connection, after which
// a server is suspected.
const suspectFailures = 2

// promptRenewalsPerInterval is the part of the renewal interval after which a renewal that
// has news for its server follows the one before.
const promptRenewalsPerInterval = 25

// maxAssignments bounds one record.
const maxAssignments = 512

// maxAutomaticMoves bounds the shards of the group that are moved at once because
// their servers drain or their service retires.
const maxAutomaticMoves = 128

// expiryWait is the wait for something that lasts d on another process's clock.
func (c Config) expiryWait(d time.Duration) time.Duration {
	extra := (d/1_000_000 + 1) * time.Duration(c.Lease.DriftPPM)
	return d + extra + c.Lease.Margin
}
