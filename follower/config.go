package follower

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Default intervals and bounds of a Config.
const (
	DefaultPollWait        = 200 * time.Millisecond
	DefaultCallTimeout     = time.Second
	DefaultPeersAfter      = 500 * time.Millisecond
	DefaultPeerWait        = 250 * time.Millisecond
	DefaultCheckpointEvery = 2000
	DefaultCheckpointAge   = time.Hour
	DefaultRebaseAfter     = 10 * time.Second

	maxCallTimeout = 10 * time.Second       // for a slow log
	peerTimeout    = 500 * time.Millisecond // for a peer's answer to a read

	queueLength    = 256     // records waiting to be appended
	inboxLength    = 4       // messages waiting for the applier
	maxReadEntries = 512     // entries of one read
	ringEntries    = 4096    // recent entries kept for peers
	ringBytes      = 8 << 20 // bytes of recent entries kept for peers

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Config is what a follower needs. Zero durations and counts take the defaults.
type Config struct {
	Node topo.NodeID
	Boot topo.BootID
	Log  platlog.Log
	// Peers may be nil; then nothing is taken from peers.
	Peers  peer.Caller
	Logger hclog.Logger

	// Zone is the node's own. Relays is how many of its nodes read the log at
	// least, see RelayCount; 0 means that this node always reads it.
	Zone   topo.Zone
	Relays int
	// Now is the clock that contact is counted by; clock.Now by default.
	Now func() time.Time
	// DriftPPM bounds how much faster than another node's this clock runs.
	DriftPPM int

	PollWait        time.Duration // how long a log read is held open at the end
	CallTimeout     time.Duration // for an answer of the log; grows while it is slow
	PeersAfter      time.Duration // without log contact before peers are asked
	PeerWait        time.Duration // how long a peer may hold a read open
	CheckpointEvery int           // records between checkpoints
	CheckpointAge   time.Duration // longest time between checkpoints when records were added
	// RebaseAfter is how long records have to be missing for every node that
	// can be asked before this one publishes its state again.
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
