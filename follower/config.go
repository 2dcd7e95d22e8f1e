package follower

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Default values of a Config.
const (
	DefaultPollWait        = 200 * time.Millisecond
	DefaultCallTimeout     = time.Second
	DefaultPeersAfter      = 500 * time.Millisecond
	DefaultPeerWait        = 250 * time.Millisecond
	DefaultCheckpointEvery = 2000
	DefaultCheckpointAge   = time.Hour
	DefaultRebaseAfter     = 10 * time.Second

	maxCallTimeout = 10 * time.Second       // upper bound while the log is slow
	peerTimeout    = 500 * time.Millisecond // for a peer's response to a read, beyond the requested wait

	queueLength    = 256     // records waiting to be appended
	inboxLength    = 4       // messages waiting for the applier
	maxReadEntries = 512     // per read
	ringEntries    = 4096    // recent entries kept for peers
	ringBytes      = 8 << 20 // bytes of recent entries kept for peers

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Config configures a follower. Zero durations and counts take the defaults.
type Config struct {
	Node topo.NodeID
	Boot topo.BootID
	Log  platlog.Log
	// Peers may be nil; then the follower reads nothing from peers.
	Peers  peer.Caller
	Logger hclog.Logger

	// Zone is the node's availability zone. Relays is the minimum number of the
	// zone's nodes that read the log, see RelayCount; with 0 this node always
	// reads it.
	Zone   topo.Zone
	Relays int
	// Now is the clock that contact is measured by; clock.Now by default.
	Now func() time.Time
	// DriftPPM bounds how much faster this clock runs than another node's, in
	// parts per million.
	DriftPPM int

	PollWait        time.Duration // how long a log read at the end of the log is held open
	CallTimeout     time.Duration // for a response of the log; grows while the log is slow
	PeersAfter      time.Duration // time without log contact before peers are asked
	PeerWait        time.Duration // how long a peer may hold a read open
	CheckpointEvery int           // records between checkpoints
	CheckpointAge   time.Duration // longest time between checkpoints when records were added
	// RebaseAfter is how long records must have been missing on every reachable
	// node before this node publishes its state again.
	RebaseAfter time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.PollWait, DefaultPollWait)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.PeersAfter, DefaultPeersAfter)
	setDefault(&c.PeerWait, DefaultPeerWait)
	setDefault(&c.CheckpointEvery, DefaultCheckpointEvery)
	setDefault(&c.CheckpointAge, DefaultCheckpointAge)
	setDefault(&c.RebaseAfter, DefaultRebaseAfter)
	if c.Now == nil {
		c.Now = clock.Now
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

func setDefault[T int | time.Duration](value *T, preset T) {
	if *value <= 0 {
		*value = preset
	}
}
