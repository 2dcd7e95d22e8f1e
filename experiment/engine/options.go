package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/settings"
)

// Options describes one run.
type Options struct {
	Deployment *model.Deployment
	Traffic    model.Traffic
	Arrivals   []model.Arrival
	Faults     []Fault
	Policy     balance.Policy
	// Picker creates the picker of one node and service.
	Picker func() pick.Picker
	Seed   uint64
	// Warmup is the initial time that the figures exclude.
	Warmup time.Duration
	// CallerRetries is the number of times a caller retries after a refusal if the
	// answer contains a retry delay.
	CallerRetries int
	// Cold starts every server cold; otherwise servers start warm.
	Cold bool
	// DisturbedFrom and DisturbedUntil bound the disturbance from which the run recovers; both are 0
	// if there is none.
	DisturbedFrom  time.Duration
	DisturbedUntil time.Duration
	// Progress is called periodically with the elapsed and total time of the run; may be nil.
	Progress func(elapsed, whole time.Duration)
}

// disturbance returns the duration of the disturbance.
func (o *Options) disturbance() time.Duration { return o.DisturbedUntil - o.DisturbedFrom }

// Platform delays that the deployments do not define, and intervals of the
// entry nodes' duties.
const (
	appendDelay     = 3 * time.Millisecond // from sending a record to its offset
	readDelay       = 2 * time.Millisecond // from its offset to a reader in the log's zone
	logPoll         = 100 * time.Millisecond
	vmListDelay     = 4 * time.Second // until the VM list shows a lost VM
	drainNotice     = time.Second     // until the nodes observe that a server is leaving
	planEvery       = time.Second
	planSettle      = 100 * time.Millisecond // after a change, so that one decision covers several changes
	sweepEvery      = 10 * time.Millisecond
	lessorTick      = 10 * time.Millisecond
	coldTime        = 5 * time.Second // from cold to full speed
	coldSpeed       = 0.4             // relative speed of a server that has just started
	connectTimeout  = settings.DefaultConnectTimeout
	silentAfter     = settings.DefaultStallTimeout
	maxQueued       = settings.DefaultMaxQueued
	maxBuffered     = settings.DefaultMaxBuffered
	renewEvery      = settings.DefaultRenewEvery
	heartbeatEvery  = settings.DefaultHeartbeatEvery
	suspectAfter    = settings.DefaultSuspectAfter
	standInAfter    = 250 * time.Millisecond
	lessorRetry     = 50 * time.Millisecond
	moveTimeout     = 10 * time.Second
	gateRamp        = time.Second
	callerRetryLate = 0.5 // random fraction that a caller adds to the retry delay
)

// leaseTiming returns the default timing of leases.
func leaseTiming() lease.Timing {
	return lease.Timing{
		TTL:      settings.DefaultLeaseTTL,
		Margin:   settings.DefaultMargin,
		DriftPPM: settings.DefaultDriftPPM,
	}
}
