package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Mode says what gives a lessor the right to renew.
type Mode uint8

// Modes.
const (
	// ModeConnected: log contact or the standby's promise.
	ModeConnected Mode = iota
	// ModeDisconnected: the standby's promise alone. The standby may go on off
	// the log when its promise has lapsed.
	ModeDisconnected
)

// String names the mode.
func (m Mode) String() string {
	if m == ModeDisconnected {
		return "disconnected"
	}
	return "connected"
}

// Run is one run of a node.
type Run struct {
	Node topo.NodeID
	Boot topo.BootID
}

// Heartbeat goes from a lessor to its standby lessor.
type Heartbeat struct {
	From      Run
	Term      topo.Term
	Round     uint64 // of this message
	Mode      Mode   // asked for
	ModeRound uint64
	Applied   topo.Offset
	Settled   bool
	Resigning bool
	Activated []topo.ShardID
	Undecided []topo.ShardID
	CutOff    bool // no server answers: the standby lessor is to try them
}

// HeartbeatReply is the standby lessor's answer.
type HeartbeatReply struct {
	From        Run
	Term        topo.Term // echoed
	Round       uint64    // echoed
	Promised    bool
	Mode        Mode // acknowledged last
	ModeRound   uint64
	Applied     topo.Offset
	HighestTerm topo.Term // known to the standby
	Reaches     bool      // a server has just answered the standby
	SettledTerm topo.Term // latest that the answering run knows to be settled
	// DisconnectedTerm is the latest in which the answering run, as the lessor, asked
	// for disconnected mode or had standby servers activated; it counts only if
	// TellsMode is set.
	DisconnectedTerm topo.Term
	TellsMode        bool
	// AskedStandbys are all that the answering run, as the lessor, has asked for
	// disconnected mode since it was settled, but for those that have acknowledged
	// connected mode again; it counts only if TellsStandbys is set.
	AskedStandbys []AskedStandby
	TellsStandbys bool
}

// LeaseOrder is a renewal to send to a server. With an empty Boot it asks for a
// time stamp only.
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
	Standby   Run
	Continued topo.Term // zero unless the claimant went on under it
	// Settled: the claimant is the lessor, and no lease of an earlier lessor is
	// left.
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
	Reason  string // for people
}

// Activation is a standby server that serves a shard off the log.
type Activation struct {
	Shard  topo.ShardID
	Fence  topo.Fence // the standby's
	Server topo.ServerID
}

// Announcement tells the zone's nodes what was decided off the log.
type Announcement struct {
	Term        topo.Term
	Activations []Activation
}

// Move is a planned change of a shard's owner or standby server.
type Move struct {
	Shard   topo.ShardID
	Fence   topo.Fence // in force
	To      topo.ServerID
	Standby topo.ServerID // empty lets the lessor choose
	Merge   bool          // returns a split key to its hash range
}
