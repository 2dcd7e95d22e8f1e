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
	// tick is how often due calls and changes are looked for. After every answer would be
	// too often for a lessor of hundreds of owners.
	tick = 25 * time.Millisecond
	// idleTick is the same for a node that is not the lessor and reads the ownership
	// topic, and sleepTick for one that does not: it can claim nothing, and wakes when it
	// reads.
	idleTick  = 100 * time.Millisecond
	sleepTick = time.Second
	// changePause is the least time between two changes of the table: releases that are
	// answered one after the other become one change, and each is a call to the store.
	changePause = 50 * time.Millisecond
	// confirmEvery is the interval of the lessor's records in the store. Others
	// take two missing ones for the loss of the lessor.
	confirmEvery = 500 * time.Millisecond
	// suspectAfter is for how long the ownership topic must not have grown before
	// another node claims: two records of the lessor, with the interval of reading.
	suspectAfter = 1200 * time.Millisecond
	// claimStep is how much longer a node waits before a claim for each stronger
	// one, so that mostly one appends and a strong one does; the store settles the
	// rest. The calls of a lessor on a weak VM time out, and the lease changes hands again.
	claimStep = 40 * time.Millisecond
	// claimSpread is the random time that is added, and longestClaimDelay bounds
	// both, since stronger nodes may be lost as well.
	claimSpread       = 80 * time.Millisecond
	longestClaimDelay = 600 * time.Millisecond
	// claimPause follows a claim that another node was quicker with: the topic is
	// read again meanwhile.
	claimPause = time.Second
	// freshRead is how recent the reading of the topic must be for a claim.
	freshRead = 900 * time.Millisecond
	// retryAppend is the pause after an append failed.
	retryAppend = 300 * time.Millisecond
	// writableFor is how long after an append the store counts as writable.
	writableFor = 1200 * time.Millisecond
	// reportEvery is how often the node takes its own reports.
	reportEvery = 500 * time.Millisecond
	// settleTime is for how long the register must keep its size before ranges
	// are cut for a service that has none: servers write once in about a second.
	settleTime = 1300 * time.Millisecond
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

	allocator    *ranges.Allocator
	loads        *ranges.Loads
	end          store.Offset // of the ownership topic
	serial       uint64       // of this node's records
	confirmedAt  time.Time    // start of the latest append that succeeded
	appending    *pendingAppend
	appended     chan appendResult
	called       chan callResult
	reported     chan formerReport
	limiter      callLimiter
	beforeUntil  time.Time       // until when grants of lessors before the former one may be in force
	handingOff   *follow.HandOff // that is to be told; nil: none
	handedOff    bool            // the next lessor has been told what was granted
	nextChange   time.Time       // not before
	nextConfirm  time.Time
	nextReport   time.Time
	claimAt      time.Time // when to claim, zero: no reason to
	noClaim      time.Time // not before
	lessorSince  time.Time
	shown        uint64 // serial of the routes that the view has
	quota        *quota.Quota
	leaseOffset  store.Offset // of the record with which the lease began
	nextShares   time.Time
	toldAt       time.Time // when shares were told last
	sharesSerial uint64
	resigning    chan struct{}
	leaving      bool // the node shuts down
	yielding     bool // the lease is to go to a stronger node
	yieldedAt    time.Time
	givenUp      bool // the record that gives the lease up may be in the store
	registered   int  // servers in the register, since registeredAt
	registeredAt time.Time
	table        view.Table
	// known holds every server ever seen: one that has left the register may
	// still answer a release.
	known map[site.ServerID]site.Server
}

// New returns a duty; its exported fields are set by the caller before Run.
func New() *Duty {
	return &Duty{
		resign:   make(chan chan struct{}, 1),
		appended: make(chan appendResult, 1),
		called:   make(chan callResult, 256),
		reported: make(chan formerReport, 1),
		loads:    ranges.NewLoads(),
		known:    map[site.ServerID]site.Server{},
	}
}

// IsLessor reports whether the node holds the lease, as far as it knows.
func (d *Duty) IsLessor() bool { return d.isLessor.Load() }

// Run performs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		read := d.Reader.OwnershipRead()
		select {
		case <-timer.C:
			d.step(ctx, clock.Now())
			timer.Reset(d.tick(clock.Now()))
		case <-read:
			timer.Reset(0)
		case result := <-d.appended:
			d.takeAppend(ctx, result)
		case result := <-d.called:
			d.takeCall(result)
		case report := <-d.Feed.Reports:
			d.takeReport(report)
		case asked := <-d.Feed.HandOffs:
			d.handOff(asked)
			timer.Reset(0)
		case report := <-d.reported:
			d.takeFormer(report)
		case done := <-d.resign:
			d.leaving = true
			d.resigning = done
			timer.Reset(0)
		case <-ctx.Done():
			return
		}
	}
}

// tick returns the time until the next look for what is due.
func (d *Duty) tick(now time.Time) time.Duration {
	switch {
	case d.allocator != nil:
		return tick
	case isFresh(d.Reader.Ownership(), now):
		return idleTick
	}
	return sleepTick
}

// isFresh reports whether the ownership topic has been read lately.
func isFresh(ownership follow.Ownership, now time.Time) bool {
	return ownership.Known && now.Sub(ownership.ReadAt) < freshRead
}

// step does what is due now.
func (d *Duty) step(ctx context.Context, now time.Time) {
	if d.allocator == nil {
		d.consider(ctx, now)
		return
	}
	if d.handingOff != nil || d.handedOff {
		d.finishHandOff(now)
		return
	}
	d.considerYielding(now)
	if d.givenUp || (d.resigning != nil || d.yielding) && d.writable(now) {
		// The next lessor waits with moves for grants that have no answer.
		if !d.allocator.Calling() {
			d.giveUp(ctx)
		}
		return
	}
	d.balanceInput(now)
	d.sendCalls(ctx, now)
	d.change(ctx, now)
	d.showRoutes()
	d.decideShares(now)
}

// consider claims the lease if there is no lessor.
func (d *Duty) consider(ctx context.Context, now time.Time) {
	if d.resigning != nil {
		close(d.resigning)
		d.resigning = nil
	}
	ownership := d.Reader.Ownership()
	if d.leaving || d.appending != nil || !isFresh(ownership, now) || now.Before(d.noClaim) || !d.State.Now().Complete() {
		d.claimAt = time.Time{}
		return
	}
	if !isVacant(ownership, d.Self, now) {
		d.claimAt = time.Time{}
		return
	}
	if d.claimAt.IsZero() && isEarlierRun(ownership, d.Self) {
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

// isVacant reports whether there is no lessor as far as can be told: none has
// been, it has resigned or does not confirm its lease, or it was an earlier run of
// this very node. After the loss of all nodes the last one saves the wait for
// records that nobody writes, 1.2 s, in which holds run out. A claim is safe in any
// case: owners answer the new lessor before they refuse the former one.
func isVacant(ownership follow.Ownership, self ranges.Lessor, now time.Time) bool {
	table := ownership.Table.Table
	if table == nil || ownership.Resigned {
		return true
	}
	return isEarlierRun(ownership, self) || now.Sub(ownership.MovedAt) > suspectAfter
}

// isEarlierRun reports whether the lessor is an earlier run of a node.
func isEarlierRun(ownership follow.Ownership, self ranges.Lessor) bool {
	table := ownership.Table.Table
	return table != nil && table.Lessor.Node == self.Node && table.Lessor.Boot != self.Boot
}

// claimDelay returns how long a node waits before a claim. At the start nobody
// knows who else is there, and the node's own strength decides.
func claimDelay(self view.Member, v *view.View) time.Duration {
	spread := time.Duration(rand.Int64N(int64(claimSpread)))
	if rank, known := follow.Rank(self, v); known {
		return min(time.Duration(rank)*claimStep+spread, longestClaimDelay)
	}
	weakness := 1 - min(self.Strength, 1)
	spread = time.Duration((0.5 + 5*weakness) * float64(spread))
	return min(time.Duration(weakness*float64(longestClaimDelay)/2)+spread, longestClaimDelay)
}

func (d *Duty) claim(ctx context.Context, ownership follow.Ownership) {
	d.claimAt = time.Time{}
	d.end = ownership.End
	table := ownership.Table.Table
	if table == nil {
		table = &ranges.Table{}
	}
	next := table.Refenced(d.Self, ranges.Fence(d.end))
	eventClaiming.Log(d.Logger, "offset", d.end, "formerLessor", table.Lessor.Node, "resigned", ownership.Resigned, "quietFor", clock.Since(ownership.MovedAt))
	former := d.Timing.FormerHoldAfter(clock.Since(ownership.MovedAt))
	p := &pendingAppend{claim: next, former: former, doubt: former, after: table.Lessor, before: d.Timing.FormerHold()}
	if ownership.KnowsFormer {
		p.before = ownership.FormerHeld
	}
	if isEarlierRun(ownership, d.Self) {
		ended := max(d.Timing.EndedHold()-clock.Since(d.StartedAt), p.before)
		p.former, p.doubt = min(p.former, ended), min(p.doubt, ended)
	}
	if ownership.Resigned {
		p.former, p.doubt = ownership.Held, ownership.Doubt
		p.after = ranges.Lessor{}
	}
	d.append(ctx, p)
}

// balanceInput takes the node's own reports and lets old ones lose weight.
func (d *Duty) balanceInput(now time.Time) {
	d.loads.Decay(now)
	if now.Before(d.nextReport) {
		return
	}
	d.nextReport = now.Add(reportEvery)
	d.takeReport(d.Reports.Drain())
	if now.Sub(d.lessorSince) > follow.MemberTimeout {
		d.State.SetMembers(d.Feed.Members())
	}
}

// takeReport takes what a node observed. A node that is not the lessor is a
// relay, and passes it on.
func (d *Duty) takeReport(report follow.Report) {
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

// writable reports whether the store took an append lately.
func (d *Duty) writable(now time.Time) bool { return now.Sub(d.confirmedAt) < writableFor }

// change appends what the allocator decides, or confirms the lease when that is due.
func (d *Duty) change(ctx context.Context, now time.Time) {
	if d.appending != nil {
		return
	}
	if d.mustResign(now) {
		d.noClaim = now.Add(claimBreak)
		d.giveUp(ctx)
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
	change := d.allocator.Plan(d.site(now), ranges.Fence(d.end), now)
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
		Known:    d.known,
		Writable: d.writable(now) && d.resigning == nil,
		Settled:  d.settled(v, now),
		Load:     d.loads,
	}
}

// settled reports whether the register of servers has kept its size for a while.
func (d *Duty) settled(v *view.View, now time.Time) bool {
	if size := len(v.Servers.Servers); size != d.registered {
		d.registered = size
		d.registeredAt = now
	}
	return now.Sub(d.registeredAt) > settleTime
}
