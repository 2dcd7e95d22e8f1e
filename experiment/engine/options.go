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
	// Picker makes the picker of one node and service.
	Picker func() pick.Picker
	Seed   uint64
	// Warmup is left out of the figures.
	Warmup time.Duration
	// CallerRetries is how often a caller asks again after a refusal, when the
	// answer told it to come back.
	CallerRetries int
	// Cold starts every server cold; otherwise they are warm at the start.
	Cold bool
	// DisturbedFrom and DisturbedUntil bound what the run recovers from; both 0
	// if there is no such time.
	DisturbedFrom  time.Duration
	DisturbedUntil time.Duration
	// Progress is told now and then how much of the run is done; may be nil.
	Progress func(elapsed, whole time.Duration)
}

// disturbance returns how long the disturbance lasts.
func (o *Options) disturbance() time.Duration { return o.DisturbedUntil - o.DisturbedFrom }

// Delays of the platform that the deployments do not name, and intervals of the
// entry nodes' duties.
const (
	appendDelay     = 3 * time.Millisecond // from a record's sending to its offset
	readDelay       = 2 * time.Millisecond // from its offset to a reader in the log's zone
	logPoll         = 100 * time.Millisecond
	vmListDelay     = 4 * time.Second // until the VM list shows that a VM is gone
	drainNotice     = time.Second     // until the nodes know that a server leaves
	planEvery       = time.Second
	planSettle      = 100 * time.Millisecond // after a change, so that one decision sees several
	sweepEvery      = 10 * time.Millisecond
	lessorTick      = 10 * time.Millisecond
	coldTime        = 5 * time.Second // from cold to full speed
	coldSpeed       = 0.4             // of a server that has just started
	connectTimeout  = settings.DefaultConnectTimeout
	silentAfter     = settings.DefaultSilentAfter
	maxQueued       = settings.DefaultMaxQueued
	maxBuffered     = settings.DefaultMaxBuffered
	renewEvery      = settings.DefaultRenewEvery
	heartbeatEvery  = settings.DefaultHeartbeatEvery
	suspectAfter    = settings.DefaultSuspectAfter
	standInAfter    = 250 * time.Millisecond
	lessorRetry     = 50 * time.Millisecond
	moveTimeout     = 10 * time.Second
	gateRamp        = time.Second
	callerRetryLate = 0.5 // random part that a caller adds to the time told
)

// leaseTiming returns the default timing of leases.
func leaseTiming() lease.Timing {
	return lease.Timing{
		TTL:      settings.DefaultLeaseTTL,
		Margin:   settings.DefaultMargin,
		DriftPPM: settings.DefaultDriftPPM,
	}
}
