// Package settings reads the settings of the process of one entry VM: JSON with
// comments, which is validated completely before any module starts.
package settings

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Settings is the content of a settings file.
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
	// Balance selects the balancing policy, module namespace "balance".
	Balance Driver
	// Seeds are the addresses of peers from which state is requested while the log
	// is unavailable.
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

// TLS holds the paths of PEM files, which are reloaded when they change. With
// CAFile, both sides must present a certificate signed by one of its authorities.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// Admin is the listener of the administration API, which is disabled without a
// token.
type Admin struct {
	Listener
	Token string
	// TokenFile is the file from which Load reads Token.
	TokenFile string
}

// Driver selects a module of a fixed namespace and holds its options.
type Driver struct {
	Name    string         // "http" for module "log.http"
	Options map[string]any // validated by the module
}

// Limits bounds the resources of the process.
type Limits struct {
	MaxBodyBytes     int64         // of a request of any service
	MaxQueued        int           // requests waiting for a server, per service
	MaxBuffered      int           // requests waiting for a shard's next owner, per service
	MaxInFlight      int           // requests of all services
	RetryBudget      float64       // retries per first attempt, over a sliding window
	DrainDelay       time.Duration // time between the health endpoint's first failure and the rejection of new requests
	DrainTimeout     time.Duration // maximum wait for requests in flight
	StallTimeout     time.Duration // time without progress after which a connection is treated as stalled
	ConnectTimeout   time.Duration
	MaxHeaderBytes   int
	MemoryLimitBytes int64 // soft heap limit; 0 leaves Go's default
}

// Timing holds the timing parameters of ownership; package lease documents the
// constraints on them.
type Timing struct {
	LeaseTTL        time.Duration
	RenewEvery      time.Duration
	HeartbeatEvery  time.Duration
	SuspectAfter    time.Duration // time without a heartbeat after which a node is suspected
	DriftPPM        int           // bound on the difference between the rates of two clocks
	Margin          time.Duration // safety margin added to every wait
	VMPollEvery     time.Duration
	CheckpointEvery int // records between checkpoints
	// LogRelays is the minimum number of nodes of a zone that read the log
	// directly; the other nodes read it through these. With 0, every node reads
	// it directly.
	LogRelays int
}
