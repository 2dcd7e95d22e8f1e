package settings

import "time"

// Defaults of the optional settings. All nodes of a site must have the same
// lease TTL, drift and margin.
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
	DefaultLogRelays       = 3    // a zone

	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxQueued      = 1024
	DefaultMaxBuffered    = 1024
	DefaultMaxInFlight    = 4096
	DefaultRetryBudget    = 0.1
	DefaultDrainDelay     = 2 * time.Second
	DefaultDrainTimeout   = 30 * time.Second
	DefaultSilentAfter    = 5 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultMaxHeaderBytes = 64 << 10
)

// Bounds within which a setting makes sense.
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
	// renewalsPerTTL is how many renewal intervals must fit in a lease: one
	// because a lease runs from the stamp of the reply before, one until the
	// next renewal, and one so that a single lost renewal does not lapse it.
	renewalsPerTTL = 3
	// heartbeatsPerSuspicion lets a single heartbeat be lost.
	heartbeatsPerSuspicion = 2
)

// DefaultTiming returns the default intervals of ownership.
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
		SilentAfter:    DefaultSilentAfter,
		ConnectTimeout: DefaultConnectTimeout,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
	}
}
