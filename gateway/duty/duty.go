// Package duty runs the lessor's duty on a node: it claims the lease when there
// is no lessor, confirms it in the store, and grants, releases and moves ranges
// as package ranges decides.
package duty

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Timing of the duty.
const (
	// lessorTick is how often due calls and changes are looked for. After every answer would be
	// too often for a lessor of hundreds of owners.
	lessorTick = 25 * time.Millisecond
	// idleTick is the same for a node that is not the lessor and reads the ownership
	// topic, and sleepTick for one that does not: it can claim nothing, and wakes when it
	// reads.
	idleTick  = 100 * time.Millisecond
	sleepTick = time.Second
	// minChangeInterval is the least time between two changes of the table: releases that are
	// answered one after the other become one change, and each is a call to the store.
	minChangeInterval = 50 * time.Millisecond
	// confirmInterval is the interval of the lessor's records in the store. Others
	// take two missing ones for the loss of the lessor.
	confirmInterval = 500 * time.Millisecond
	// suspectTimeout is for how long the ownership topic must not have grown before
	// another node claims: two records of the lessor, with the interval of reading.
	suspectTimeout = 1200 * time.Millisecond
	// claimRankDelay is how much longer a node waits before a claim for each stronger
	// one, so that mostly one appends and a strong one does; the store settles the
	// rest. The calls of a lessor on a weak VM time out, and the lease changes hands again.
	claimRankDelay = 40 * time.Millisecond
	// claimJitter is the random time that is added, and longestClaimDelay bounds
	// both, since stronger nodes may be lost as well.
	claimJitter   = 80 * time.Millisecond
	maxClaimDelay = 600 * time.Millisecond
	// lostClaimPause follows a claim that another node was quicker with: the topic is
	// read again meanwhile.
	lostClaimPause = time.Second
	// maxReadAge is how recent the reading of the topic must be for a claim.
	maxReadAge = 900 * time.Millisecond
	// appendRetryDelay is the pause after an append failed.
	appendRetryDelay = 300 * time.Millisecond
	// writableDuration is how long after an append the store counts as writable.
	writableDuration = 1200 * time.Millisecond
	// reportInterval is how often the node takes its own reports.
	reportInterval = 500 * time.Millisecond
	// registrySettleTime is for how long the register must keep its size before ranges
	// are cut for a service that has none: servers write once in about a second.
	registrySettleTime = 1300 * time.Millisecond
)

// Duty is the lessor's duty of one node.
type Duty struct {
	Self    ranges.Lessor
	Member  view.Member // this node
	Timing  ranges.Timing
	Store   store.Store
	Granter ranges.Granter
	State   *view.State
	Reader  *follow.Reader
	Feed    *follow.Feed
	Former  Former
	// StartedAt is when this process started. Earlier ones of the node had ended by then.
	StartedAt time.Time
	Reports   *follow.Reports
	Logger    hclog.Logger

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
	earlierHoldEnd   time.Time       // until when grants of lessors before the former one may be in force
	pendingHandOff   *follow.HandOff // that is to be told; nil: none
	handedOff        bool            // the next lessor has been told what was granted
	nextChange       time.Time       // not before
	nextConfirm      time.Time
	nextReport       time.Time
	claimAt          time.Time // when to claim, zero: no reason to
	noClaimBefore    time.Time // not before
	lessorSince      time.Time
	shownSerial      uint64 // serial of the routes that the view has
	quota            *quota.Quota
	leaseOffset      store.Offset // of the record with which the lease began
	nextShares       time.Time
	sharesSentAt     time.Time // when shares were told last
	sharesSerial     uint64
	resigning        chan struct{}
	shuttingDown     bool // the node shuts down
	yielding         bool // the lease is to go to a stronger node
	yieldedAt        time.Time
	resignationSent  bool // the record that gives the lease up may be in the store
	serverCount      int  // servers in the register, since registeredAt
	serverCountSince time.Time
	table            view.Table
	// knownServers holds every server ever seen: one that has left the register may
	// still answer a release.
	knownServers map[site.ServerID]site.Server
}

// New returns a duty; its exported fields are set by the caller before Run.
func New() *Duty {
	return &Duty{
		resign:          make(chan chan struct{}, 1),
		appendResults:   make(chan appendResult, 1),
		callResults:     make(chan callResult, 256),
		previousReports: make(chan previousReport, 1),
		loads:           ranges.NewLoads(),
		knownServers:    map[site.ServerID]site.Server{},
	}
}

// IsLessor reports whether the node holds the lease, as far as it knows.
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
		case asked := <-d.Feed.HandOffs:
			d.beginHandOff(asked)
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

// nextInterval returns the time until the next look for what is due.
func (d *Duty) nextInterval(now time.Time) time.Duration {
	switch {
	case d.allocator != nil:
		return lessorTick
	case isFresh(d.Reader.Ownership(), now):
		return idleTick
	}
	return sleepTick
}

// isFresh reports whether the ownership topic has been read lately.
func isFresh(ownership follow.Ownership, now time.Time) bool {
	return ownership.Known && now.Sub(ownership.ReadAt) < maxReadAge
}

// step does what is due now.
func (d *Duty) step(ctx context.Context, now time.Time) {
	if d.allocator == nil {
		d.considerClaim(ctx, now)
		return
	}
	if d.pendingHandOff != nil || d.handedOff {
		d.finishHandOff(now)
		return
	}
	d.considerYielding(now)
	if d.resignationSent || (d.resigning != nil || d.yielding) && d.isStoreWritable(now) {
		// The next lessor waits with moves for grants that have no answer.
		if !d.allocator.Calling() {
			d.appendResignation(ctx)
		}
		return
	}
	d.balanceInput(now)
	d.sendCalls(ctx, now)
	d.appendDue(ctx, now)
	d.showRoutes()
	d.updateShares(now)
}

// considerClaim claims the lease if there is no lessor.
func (d *Duty) considerClaim(ctx context.Context, now time.Time) {
	if d.resigning != nil {
		close(d.resigning)
		d.resigning = nil
	}
	ownership := d.Reader.Ownership()
	if d.shuttingDown || d.appending != nil || !isFresh(ownership, now) || now.Before(d.noClaimBefore) || !d.State.Now().Complete() {
		d.claimAt = time.Time{}
		return
	}
	if !isLeaseVacant(ownership, d.Self, now) {
		d.claimAt = time.Time{}
		return
	}
	if d.claimAt.IsZero() && isEarlierIncarnation(ownership, d.Self) {
		d.claimAt = now // nobody else knows yet
	}
	if d.claimAt.IsZero() {
		d.claimAt = now.Add(claimDelay(d.Member, d.State.Now()))
	}
	if now.Before(d.claimAt) {
		return
	}
	d.claim(ctx, ownership)
}

// isLeaseVacant reports whether there is no lessor as far as can be told: none has
// been, it has resigned or does not confirm its lease, or it was an earlier run of
// this very node. After the loss of all nodes the last one saves the wait for
// records that nobody writes, 1.2 s, in which holds run out. A claim is safe in any
// case: owners answer the new lessor before they refuse the former one.
func isLeaseVacant(ownership follow.Ownership, self ranges.Lessor, now time.Time) bool {
	table := ownership.Table.Table
	if table == nil || ownership.Resigned {
		return true
	}
	return isEarlierIncarnation(ownership, self) || now.Sub(ownership.MovedAt) > suspectTimeout
}

// isEarlierIncarnation reports whether the lessor is an earlier run of a node.
func isEarlierIncarnation(ownership follow.Ownership, self ranges.Lessor) bool {
	table := ownership.Table.Table
	return table != nil && table.Lessor.Node == self.Node && table.Lessor.Boot != self.Boot
}

// claimDelay returns how long a node waits before a claim. At the start nobody
// knows who else is there, and the node's own strength decides.
func claimDelay(self view.Member, v *view.View) time.Duration {
	jitter := time.Duration(rand.Int64N(int64(claimJitter)))
	if rank, known := follow.Rank(self, v); known {
		return min(time.Duration(rank)*claimRankDelay+jitter, maxClaimDelay)
	}
	missingCapacity := 1 - min(self.Strength, 1)
	jitter = time.Duration((0.5 + 5*missingCapacity) * float64(jitter))
	return min(time.Duration(missingCapacity*float64(maxClaimDelay)/2)+jitter, maxClaimDelay)
}

func (d *Duty) claim(ctx context.Context, ownership follow.Ownership) {
	d.claimAt = time.Time{}
	d.topicEnd = ownership.End
	table := ownership.Table.Table
	if table == nil {
		table = &ranges.Table{}
	}
	next := table.Refenced(d.Self, ranges.Fence(d.topicEnd))
	eventClaiming.Log(d.Logger, "offset", d.topicEnd, "formerLessor", table.Lessor.Node, "resigned", ownership.Resigned, "quietFor", clock.Since(ownership.MovedAt))
	previousHold := d.Timing.FormerHoldAfter(clock.Since(ownership.MovedAt))
	p := &pendingAppend{claim: next, previousHold: previousHold, uncertainHold: previousHold, previousLessor: table.Lessor, earlierHold: d.Timing.FormerHold()}
	if ownership.KnowsFormer {
		p.earlierHold = ownership.FormerHeld
	}
	if isEarlierIncarnation(ownership, d.Self) {
		earlierHold := max(d.Timing.EndedHold()-clock.Since(d.StartedAt), p.earlierHold)
		p.previousHold, p.uncertainHold = min(p.previousHold, earlierHold), min(p.uncertainHold, earlierHold)
	}
	if ownership.Resigned {
		p.previousHold, p.uncertainHold = ownership.Held, ownership.Doubt
		p.previousLessor = ranges.Lessor{}
	}
	d.append(ctx, p)
}

// balanceInput takes the node's own reports and lets old ones lose weight.
func (d *Duty) balanceInput(now time.Time) {
	d.loads.Decay(now)
	if now.Before(d.nextReport) {
		return
	}
	d.nextReport = now.Add(reportInterval)
	d.handleReport(d.Reports.Drain())
	if now.Sub(d.lessorSince) > follow.MemberTimeout {
		d.State.SetMembers(d.Feed.Members())
	}
}

// handleReport takes what a node observed. A node that is not the lessor is a
// relay, and passes it on.
func (d *Duty) handleReport(report follow.Report) {
	if d.allocator == nil {
		d.Reports.Merge(report)
		return
	}
	for _, c := range report.KeyCounts {
		for i, key := range c.Keys {
			if i < len(c.Requests) {
				d.loads.Count(site.ServiceName(c.Service), ranges.Key(key), int(c.Requests[i]))
			}
		}
	}
	for _, p := range report.Paces {
		d.loads.Pace(site.ServerID(p.Server), time.Duration(p.MeanUs)*time.Microsecond)
		d.loads.Present(site.ServerID(p.Server), int(p.Answers), int(p.Present))
	}
}

// lease returns the lessor's lease.
func (d *Duty) lease() ranges.Lease {
	return ranges.Lease{ConfirmedAt: d.confirmedAt}
}

// isStoreWritable reports whether the store took an append lately.
func (d *Duty) isStoreWritable(now time.Time) bool { return now.Sub(d.confirmedAt) < writableDuration }

// appendDue appends what the allocator decides, or confirms the lease when that is due.
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
	if !now.Before(d.nextConfirm) {
		d.append(ctx, &pendingAppend{})
	}
}

// changeTable appends what the allocator decides, and reports whether it decided anything.
func (d *Duty) changeTable(ctx context.Context, now time.Time) bool {
	change := d.allocator.Plan(d.site(now), ranges.Fence(d.topicEnd), now)
	for _, r := range d.allocator.Restarts() {
		eventRestart.Log(d.Logger, "server", r.To, "earlier", r.From, "losesKeys", r.Loops)
	}
	for _, move := range d.allocator.Moves() {
		eventMove.Log(d.Logger, "service", move.Service, "server", move.From, "to", move.To, "from", int(move.Span.From), "keys", move.Span.Keys(), "rate", move.Rate, "used", move.Used, "usedTo", move.UsedTo)
	}
	if change == nil {
		return false
	}
	d.append(ctx, &pendingAppend{change: change})
	return true
}

// site returns what the allocator decides by.
func (d *Duty) site(now time.Time) ranges.Site {
	v := d.State.Now()
	return ranges.Site{
		Services: v.Config.Services,
		Servers:  v.Servers.Servers,
		Known:    d.knownServers,
		Writable: d.isStoreWritable(now) && d.resigning == nil,
		Settled:  d.isRegistrySettled(v, now),
		Load:     d.loads,
	}
}

// isRegistrySettled reports whether the register of servers has kept its size for a while.
func (d *Duty) isRegistrySettled(v *view.View, now time.Time) bool {
	if size := len(v.Servers.Servers); size != d.serverCount {
		d.serverCount = size
		d.serverCountSince = now
	}
	return now.Sub(d.serverCountSince) > registrySettleTime
}
