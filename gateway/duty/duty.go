// Package duty runs the lessor's duty on a node: it claims the lease when there is no
// lessor, confirms the lease in the store, and grants, releases and moves ranges as package
// ranges decides.
package duty

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Timing of the duty.
const (
	// lessorTick is the interval of checks for due calls and changes. A check examines all
	// ranges, so checking after every response would be too often for a lessor with hundreds
	// of owners.
	lessorTick = 25 * time.Millisecond
	// idleTick is the interval on a node that is not the lessor and reads the ownership
	// topic. sleepTick applies to a node that does not read it. A longer interval suffices
	// there, because the node cannot claim, and reading the topic triggers a check
	// immediately.
	idleTick  = 100 * time.Millisecond
	sleepTick = time.Second
	// minChangeInterval is the minimum time between two changes of the table. It combines
	// releases that complete shortly after each other, because each change is a call to the
	// store.
	minChangeInterval = 50 * time.Millisecond
	// confirmInterval is the interval of the lessor's records in the store. Other nodes
	// treat the lessor as lost after two missing records.
	confirmInterval = 500 * time.Millisecond
	// suspectTimeout is how long the ownership topic must be idle before another node
	// claims: two records of the lessor plus the read interval.
	suspectTimeout = 1200 * time.Millisecond
	// claimRankDelay is the additional delay of a claim for each node with more capacity,
	// so that usually only one node appends, and it has a high capacity: calls of a lessor
	// with little capacity time out, and the lease moves again. If several nodes append, the
	// store accepts one claim.
	claimRankDelay = 40 * time.Millisecond
	// claimJitter bounds the random part of the delay. maxClaimDelay bounds the whole
	// delay, because nodes with more capacity may be lost as well.
	claimJitter   = 80 * time.Millisecond
	maxClaimDelay = 600 * time.Millisecond
	// lostClaimPause is the pause after another node claimed first. The topic is read again
	// during this time.
	lostClaimPause = time.Second
	// maxReadAge is the maximum age of the latest read of the topic for a claim.
	maxReadAge = 900 * time.Millisecond
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 300 * time.Millisecond
	// writableDuration is how long the store is treated as writable after an append.
	writableDuration = 1200 * time.Millisecond
	// reportInterval is the interval at which the lessor processes the reports of its own
	// node.
	reportInterval = 500 * time.Millisecond
	// registrySettleTime is how long the server registry must keep its size before ranges
	// are created for a service that has none. Servers write to the registry about once a
	// second.
	registrySettleTime = 1300 * time.Millisecond
)

// Duty is the lessor's duty of one node.
type Duty struct {
	Self           ranges.Lessor
	Member         view.Member // this node
	Timing         ranges.Timing
	Store          store.Store
	Granter        ranges.Granter
	State          *view.State
	Reader         *follow.Reader
	Feed           *follow.Feed
	PreviousLessor PreviousLessor
	// StartedAt is when this process started. Earlier incarnations of the node had ended by
	// then.
	StartedAt time.Time
	Reports   *follow.Reports
	Logger    hclog.Logger
	// LearnSpeeds returns when the speeds of servers are learned and used; nil: while the site is mixed.
	LearnSpeeds func() config.SpeedLearning
	// IsPartitioned reports whether this node can connect to no server of a service; nil: never.
	IsPartitioned func(site.ServiceName) bool

	isLessor atomic.Bool
	resign   chan chan struct{}

	allocator        *ranges.Allocator
	loads            *ranges.Loads
	topicEnd         store.Offset // of the ownership topic
	serial           uint64       // of this node's records
	confirmedAt      time.Time    // start of the latest append that succeeded
	appending        *pendingAppend
	appendResults    chan appendResult
	callResults      chan callResult
	previousReports  chan previousReport
	limiter          callLimiter
	earlierHoldEnd   time.Time       // end of the grants of lessors before the previous one
	reissue          *reissue        // nil unless the store has come back from a copy
	awaitedEra       store.Era       // for which the wait for unknown holds was last logged
	pendingHandOff   *follow.HandOff // request without a reply; nil if there is none
	handedOff        bool            // the next lessor has received the outstanding grants
	nextChange       time.Time       // earliest time of the next change of the table
	nextConfirm      time.Time
	nextReport       time.Time
	claimAt          time.Time // scheduled claim; zero if none
	noClaimBefore    time.Time // earliest time of the next claim
	lessorSince      time.Time
	shownSerial      uint64 // serial of the routes in the view
	quota            *quota.Quota
	mix              *guidance.Mix
	speeds           *speed.Estimator
	estimates        atomic.Pointer[speed.Estimates] // latest, for the state dump; nil: none
	learning         bool                            // speeds are learned and used
	sent             sentSpeeds
	nextSpeedsLog    time.Time
	admissions       admissions
	nextGuidance     time.Time
	guidanceSentAt   time.Time
	guidanceSerial   uint64
	quarantine       *quarantine.Table
	quarantined      quarantine.List // as last written or about to be written
	quarantineDue    bool            // quarantined is not written yet
	leaseOffset      store.Offset    // of the claim that started the lease
	nextShares       time.Time
	sharesSentAt     time.Time
	sharesSerial     uint64
	resigning        chan struct{}
	shuttingDown     bool
	yielding         bool // the lease is being released for a node with more capacity
	yieldedAt        time.Time
	resignationSent  bool // the record that releases the lease may be in the store
	serverCount      int  // servers in the registry since serverCountSince
	serverCountSince time.Time
	table            view.Table // the latest table that this node appended as the lessor
	// knownServers holds every server ever observed: a server that has left the registry
	// may still respond to a release.
	knownServers map[site.ServerID]site.Server
}

// New returns a duty. The caller sets its exported fields before Run.
func New() *Duty {
	d := &Duty{
		resign:          make(chan chan struct{}, 1),
		appendResults:   make(chan appendResult, 1),
		callResults:     make(chan callResult, 256),
		previousReports: make(chan previousReport, 1),
		loads:           ranges.NewLoads(),
		speeds:          speed.New(),
		mix:             guidance.NewMix(),
		knownServers:    map[site.ServerID]site.Server{},
	}
	d.admissions.reset(view.Guidance{})
	return d
}

// IsLessor reports whether the node holds the lease, to its own knowledge.
func (d *Duty) IsLessor() bool { return d.isLessor.Load() }

// Run performs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	timer := time.NewTimer(lessorTick)
	defer timer.Stop()
	for {
		read := d.Reader.OwnershipRead()
		select {
		case <-timer.C:
			d.step(ctx, clock.Now())
			timer.Reset(d.nextInterval(clock.Now()))
		case <-read:
			timer.Reset(0)
		case result := <-d.appendResults:
			d.handleAppend(ctx, result)
		case result := <-d.callResults:
			d.completeCall(result)
		case report := <-d.Feed.Reports:
			d.handleReport(report)
		case request := <-d.Feed.HandOffs:
			d.beginHandOff(request)
			timer.Reset(0)
		case report := <-d.previousReports:
			d.handlePreviousGrants(report)
		case done := <-d.resign:
			d.shuttingDown = true
			d.resigning = done
			timer.Reset(0)
		case <-ctx.Done():
			return
		}
	}
}

// nextInterval returns the time until the next check for due work.
func (d *Duty) nextInterval(now time.Time) time.Duration {
	switch {
	case d.allocator != nil:
		return lessorTick
	case isFresh(d.Reader.Ownership(), now):
		return idleTick
	}
	return sleepTick
}

// isFresh reports whether the latest read of the ownership topic is younger than
// maxReadAge.
func isFresh(ownership follow.Ownership, now time.Time) bool {
	return ownership.Known && now.Sub(ownership.ReadAt) < maxReadAge
}

// step performs the work that is due now.
func (d *Duty) step(ctx context.Context, now time.Time) {
	if d.allocator == nil {
		d.considerClaim(ctx, now)
		return
	}
	if d.pendingHandOff != nil || d.handedOff {
		d.finishHandOff(now)
		return
	}
	if d.reissue != nil {
		d.continueReissue(ctx, now)
		return
	}
	d.considerYielding(now)
	if d.resignationSent || (d.resigning != nil || d.yielding) && d.isStoreWritable(now) {
		// Resign only when no grant is in flight: the next lessor defers moves while the
		// outcome of a grant is uncertain.
		if !d.allocator.GrantInFlight() {
			d.appendResignation(ctx)
		}
		return
	}
	d.processOwnReports(now)
	d.updateQuarantine(now)
	d.sendCalls(ctx, now)
	d.appendDue(ctx, now)
	d.showRoutes()
	d.updateShares(now)
	d.updateGuidance(now)
}

// lease returns the lessor's lease.
func (d *Duty) lease() ranges.Lease {
	return ranges.Lease{ConfirmedAt: d.confirmedAt}
}

// isStoreWritable reports whether an append that succeeded started within writableDuration.
func (d *Duty) isStoreWritable(now time.Time) bool { return now.Sub(d.confirmedAt) < writableDuration }

// appendDue appends the allocator's decision, or confirms the lease when that is due.
func (d *Duty) appendDue(ctx context.Context, now time.Time) {
	if d.appending != nil {
		return
	}
	if d.mustResign(now) {
		d.noClaimBefore = now.Add(resignedClaimPause)
		d.appendResignation(ctx)
		return
	}
	if !now.Before(d.nextChange) && d.changeTable(ctx, now) {
		return
	}
	if d.quarantineDue {
		d.append(ctx, &pendingAppend{quarantined: d.quarantined})
		return
	}
	if !now.Before(d.nextConfirm) {
		d.append(ctx, &pendingAppend{})
	}
}

// changeTable appends the allocator's decision, and reports whether there was one.
func (d *Duty) changeTable(ctx context.Context, now time.Time) bool {
	change := d.allocator.Plan(d.site(now), ranges.Fence(d.topicEnd), now)
	for _, r := range d.allocator.Restarts() {
		eventRestart.Log(d.Logger, "server", r.To, "earlier", r.From, "losesKeys", r.CrashLooping)
		d.speeds.Forget(r.From)
	}
	for _, move := range d.allocator.Moves() {
		d.logMove(move)
		if move.UsedTo > 1 {
			d.nextShares = now // before the keys are granted to a server that cannot run all their requests
		}
	}
	if change == nil {
		return false
	}
	d.append(ctx, &pendingAppend{change: change})
	return true
}

// site returns the input of the allocator's decisions.
func (d *Duty) site(now time.Time) ranges.Site {
	v := d.State.Now()
	return ranges.Site{
		Services: v.Config.Services,
		Servers:  v.Registered(),
		Known:    d.knownServers,
		Writable: d.isStoreWritable(now) && d.resigning == nil,
		Settled:  d.observeRegistrySize(v, now),
		Load:     d.loads,
	}
}

// observeRegistrySize records the size of the server registry, and reports whether the
// registry has kept it for more than registrySettleTime.
func (d *Duty) observeRegistrySize(v *view.View, now time.Time) bool {
	if size := len(v.Servers.Servers); size != d.serverCount {
		d.serverCount = size
		d.serverCountSince = now
	}
	return now.Sub(d.serverCountSince) > registrySettleTime
}
