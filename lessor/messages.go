package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Mode selects what gives a lessor the right to renew.
type Mode uint8

// Modes of the right to renew.
const (
	// ModeConnected: log contact or the standby's promise.
	ModeConnected Mode = iota
	// ModeDisconnected: the standby's promise alone. The standby may take over
	// without the log when its promise has expired.
	ModeDisconnected
)

// String names the mode.
func (m Mode) String() string {
	if m == ModeDisconnected {
		return "disconnected"
	}
	return "connected"
}

// Incarnation is one incarnation of a node, from its start to its end.
type Incarnation struct {
	Node topo.NodeID
	Boot topo.BootID
}

// Heartbeat is sent by a lessor to its standby lessor.
type Heartbeat struct {
	From      Incarnation
	Term      topo.Term
	Round     uint64 // of this message
	Mode      Mode   // requested
	ModeRound uint64
	Applied   topo.Offset
	Settled   bool
	Resigning bool
	Activated []topo.ShardID
	Undecided []topo.ShardID
	CutOff    bool // no server answers: the standby lessor should probe them
}

// HeartbeatReply is the standby lessor's reply.
type HeartbeatReply struct {
	From           Incarnation
	Term           topo.Term // echoed
	Round          uint64    // echoed
	Promised       bool
	Mode           Mode // latest acknowledged mode
	ModeRound      uint64
	Applied        topo.Offset
	HighestTerm    topo.Term // known to the standby
	ReachesServers bool      // a server has recently answered the standby
	SettledTerm    topo.Term // latest term that the replying incarnation knows to be settled
	// DisconnectedTerm is the latest term in which the replying incarnation, as the
	// lessor, asked for disconnected mode or had standby servers activated. It is
	// valid only if ReportsMode is set.
	DisconnectedTerm topo.Term
	ReportsMode      bool
	// AskedStandbys are the standby lessors that the replying incarnation, as the
	// lessor, has asked for disconnected mode since it was settled, except those
	// that have acknowledged connected mode again. The list is complete only if
	// ReportsStandbys is set.
	AskedStandbys   []AskedStandby
	ReportsStandbys bool
}

// LeaseOrder is a renewal to send to a server. With an empty Boot it only
// requests a time stamp.
type LeaseOrder struct {
	Server     topo.ServerID
	Attempt    uint64
	Term       topo.Term
	Boot       topo.BootID
	Echo       int64
	TTL        time.Duration
	Generation uint64
	Full       bool
	Grants     []Grant
	Standby    []Grant
}

// LeaseReport is a server's reply to a renewal or to an acknowledgement
// request.
type LeaseReport struct {
	Refused     string // a serverapi refusal, or empty
	Boot        topo.BootID
	Stamp       int64
	HighestTerm topo.Term
	Generation  uint64
	Remaining   time.Duration // of its lease, on its own clock
	HasActive   bool          // Active was reported
	Active      []Grant
	Busy        []topo.ShardID
	Draining    bool
}

// Claim is a claim of the group's next term.
type Claim struct {
	Expected  topo.Term
	Standby   Incarnation
	Continued topo.Term // zero unless the claimant took over under it without the log
	// Settled: the claimant is the lessor, and no lease of an earlier lessor
	// remains.
	Settled bool
}

// Assign is one change of a shard's assignment.
type Assign struct {
	Shard            topo.ShardID
	Expected         topo.Fence
	Owner            topo.ServerID // empty releases the shard
	OwnerBoot        topo.BootID
	Standby          topo.ServerID
	Merge            bool
	StandbyWasActive bool
}

// Submission is one record of assignments.
type Submission struct {
	Term    topo.Term
	Assigns []Assign
	Reason  string // for operators
}

// Activation is a standby server that serves a shard without the log.
type Activation struct {
	Shard  topo.ShardID
	Fence  topo.Fence // the standby fence
	Server topo.ServerID
}

// Announcement reports to the zone's nodes the decisions made without the log.
type Announcement struct {
	Term        topo.Term
	Activations []Activation
}

// Move is a planned change of a shard's owner or standby server.
type Move struct {
	Shard   topo.ShardID
	Fence   topo.Fence // of the current assignment
	To      topo.ServerID
	Standby topo.ServerID // if empty, the lessor chooses
	Merge   bool          // returns a split key to its hash range
}
