// Package state implements the site's replicated state: a deterministic state
// machine over the platform's log. The state changes only by Apply. Readers use
// immutable Views.
package state

import (
	"context"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Assignment names the owner and the standby of a shard. The zero Fence means
// that the shard has no owner.
type Assignment struct {
	Shard topo.ShardID
	Fence topo.Fence // of the owner; the standby's is Fence.Standby()
	Owner topo.ServerID
	// OwnerBoot is the incarnation of the owner to which the fence belongs. It is
	// empty until the lessor has observed the owner.
	OwnerBoot topo.BootID
	Standby   topo.ServerID // may be empty
}

// Phase is a backend server's life-cycle phase.
type Phase int

// Phases.
const (
	PhaseLive     Phase = iota + 1 // accepts new ownership
	PhaseDraining                  // keeps serving, receives no new shards
	PhaseGone                      // confirmed by the platform to have stopped
)

// Server is one backend server.
type Server struct {
	ID      topo.ServerID
	Service topo.Service
	Zone    topo.Zone
	Address string // host:port
	Group   topo.GroupID
	Phase   Phase
}

// Node is one incarnation of an entry VM's process.
type Node struct {
	ID          topo.NodeID
	Boot        topo.BootID
	Zone        topo.Zone
	Region      topo.Region
	PeerAddress string // host:port of the peer listener
}

// Group names the lessor of a group of servers.
type Group struct {
	ID          topo.GroupID
	Term        topo.Term // of the lessor; the standby lessor's is Term.Standby()
	Lessor      topo.NodeID
	LessorBoot  topo.BootID
	Standby     topo.NodeID // may be empty
	StandbyBoot topo.BootID
	// EarliestActiveTerm is the offset of the earliest term whose lessor may still be
	// active; see View.DisconnectedLimit.
	EarliestActiveTerm topo.Offset
	// Previous lists the lessors' incarnations in earlier terms; nil in the first
	// term and when they are not known.
	Previous *PreviousLessors
}

// Source provides the current view and reports newer ones. The follower
// implements it.
type Source interface {
	// View returns the latest immutable view; never nil.
	View() *View
	// Changed returns a channel that is closed when a view exists that is newer
	// than the one that View returns now.
	Changed() <-chan struct{}
	// WaitApplied blocks until the record at offset has been applied.
	WaitApplied(ctx context.Context, offset topo.Offset) error
}
