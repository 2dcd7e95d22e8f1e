package settings

import "time"

// Defaults of the optional settings. All nodes of a site must use the same lease
// TTL, clock drift and margin.
const (
	DefaultLogLevel = "info"

	DefaultLogDriver    = "http"
	DefaultVMsDriver    = "http"
	DefaultServerDriver = "http"
	DefaultBalance      = "push"

	DefaultLeaseTTL        = time.Second
	DefaultRenewEvery      = 250 * time.Millisecond
	DefaultHeartbeatEvery  = 100 * time.Millisecond
	DefaultSuspectAfter    = 350 * time.Millisecond
	DefaultDriftPPM        = 200
	DefaultMargin          = 50 * time.Millisecond
	DefaultVMPollEvery     = 500 * time.Millisecond
	DefaultCheckpointEvery = 2000 // records
	DefaultLogRelays       = 3    // per zone

	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxQueued      = 1024
	DefaultMaxBuffered    = 1024
	DefaultMaxInFlight    = 4096
	DefaultRetryBudget    = 0.1
	DefaultDrainDelay     = 2 * time.Second
	DefaultDrainTimeout   = 30 * time.Second
	DefaultStallTimeout   = 5 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultMaxHeaderBytes = 64 << 10
)

// Bounds of the settings.
const (
	minInterval        = 5 * time.Millisecond
	maxInterval        = time.Minute
	maxTimeout         = time.Hour
	minDriftPPM        = 1
	maxDriftPPM        = 50_000
	minCheckpointEvery = 10
	maxCheckpointEvery = 1_000_000
	maxLogRelays       = 1000
	maxCount           = 1_000_000
	minHeaderBytes     = 4 << 10
	maxHeaderBytes     = 4 << 20
	maxBodyBytes       = 1 << 30
	maxMemoryBytes     = 1 << 40
	minTokenLength     = 16
	// renewalsPerTTL is the number of renewal intervals that must fit in a lease:
	// one because a lease is measured from the timestamp of the previous reply,
	// one until the next renewal, and one so that a lease survives the loss of a
	// single renewal.
	renewalsPerTTL = 3
	// heartbeatsPerSuspicion is the number of heartbeat intervals that must fit in
	// SuspectAfter, so that the loss of a single heartbeat raises no suspicion.
	heartbeatsPerSuspicion = 2
)

// DefaultTiming returns the default timing of ownership.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:        DefaultLeaseTTL,
		RenewEvery:      DefaultRenewEvery,
		HeartbeatEvery:  DefaultHeartbeatEvery,
		SuspectAfter:    DefaultSuspectAfter,
		DriftPPM:        DefaultDriftPPM,
		Margin:          DefaultMargin,
		VMPollEvery:     DefaultVMPollEvery,
		CheckpointEvery: DefaultCheckpointEvery,
		LogRelays:       DefaultLogRelays,
	}
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   DefaultMaxBodyBytes,
		MaxQueued:      DefaultMaxQueued,
		MaxBuffered:    DefaultMaxBuffered,
		MaxInFlight:    DefaultMaxInFlight,
		RetryBudget:    DefaultRetryBudget,
		DrainDelay:     DefaultDrainDelay,
		DrainTimeout:   DefaultDrainTimeout,
		StallTimeout:   DefaultStallTimeout,
		ConnectTimeout: DefaultConnectTimeout,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
	}
}
