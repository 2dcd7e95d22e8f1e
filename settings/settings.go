// Package settings reads the settings of one entry VM's process: JSON with
// comments, validated as a whole before anything starts.
package settings

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Settings is everything that a process learns from its settings file.
type Settings struct {
	Node     topo.NodeID
	Zone     topo.Zone
	Region   topo.Region
	Frontend Listener // callers
	Peer     Listener // other entry nodes
	Admin    Admin    // operators
	Log      Driver   // module namespace "log"
	VMs      Driver   // module namespace "vms"
	Servers  Driver   // module namespace "servers"
	// Balance names the policy, module namespace "balance".
	Balance Driver
	// Seeds are peer addresses to ask for state while the log is away.
	Seeds    []string
	Limits   Limits
	Timing   Timing
	LogLevel string // trace, debug, info, warn or error
}

// Listener is an address and, optionally, its TLS files.
type Listener struct {
	Address string // IP:port
	TLS     *TLS
}

// TLS names PEM files, read again when they change. With CAFile both sides
// must show a certificate signed by it.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// Admin is the administration API's listener. Without a token there is no
// administration API.
type Admin struct {
	Listener
	Token string
	// TokenFile is where Load reads the token; Token is then filled in.
	TokenFile string
}

// Driver names a module of a fixed namespace and carries its own options.
type Driver struct {
	Name    string         // "http" for module "log.http"
	Options map[string]any // validated by the module
}

// Limits bound what the process holds.
type Limits struct {
	MaxBodyBytes    int64         // of any request
	MaxQueued       int           // requests waiting for a server, per service
	MaxBuffered     int           // requests waiting for a shard's next owner, per service
	MaxInFlight     int           // requests of all services
	RetryBudget     float64       // retries per first attempt, over a sliding window
	DrainDelay      time.Duration // the health endpoint fails this long before new requests are refused
	DrainTimeout    time.Duration // longest wait for requests in flight
	SilentAfter     time.Duration // no progress on a connection
	ConnectTimeout  time.Duration
	MaxHeaderBytes  int
	MemoryLimitByte int64 // soft heap limit; 0 leaves Go's default
}

// Timing holds the intervals of ownership; see package lease for what each
// must satisfy.
type Timing struct {
	LeaseTTL        time.Duration
	RenewEvery      time.Duration
	HeartbeatEvery  time.Duration
	SuspectAfter    time.Duration // heartbeat silence after which the other is suspected
	DriftPPM        int           // bound on the difference of two clocks' rates
	Margin          time.Duration // added to every wait
	VMPollEvery     time.Duration
	CheckpointEvery int // records between checkpoints
	// LogRelays is how many nodes of a zone read the log at least; the others
	// read it through them. 0 lets every node read it.
	LogRelays int
}
