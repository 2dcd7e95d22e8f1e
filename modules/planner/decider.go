package planner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/membership"
	core "github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/ring"
	"github.com/burdockspindle/burdockspindle/submit"
	"github.com/burdockspindle/burdockspindle/topo"
)

// queueSize is the maximum number of requests to lessors that wait to be sent.
// Requests beyond it are dropped and planned again.
const queueSize = 128

// decider is the goroutine that makes decisions while this node holds the
// planner's role.
type decider struct {
	module   *Module
	requests *ring.Ring[*core.Request]
	results  *ring.Ring[moveResult]
	latest   atomic.Pointer[decisionSummary]

	tracker *core.Tracker
	random  *rand.Rand
	waiting map[topo.Service]bool
}

// decisionSummary describes the latest decision in the state dump.
type decisionSummary struct {
	At       time.Time      `json:"at"`
	Applied  topo.Offset    `json:"applied"`
	Assign   int            `json:"assign"`
	Requests int            `json:"requests"`
	Waiting  []topo.Service `json:"waiting"`
	Tracker  core.Dump      `json:"tracker"`
}

func newDecider(m *Module) *decider {
	return &decider{
		module:   m,
		requests: ring.New[*core.Request]("planner-requests", queueSize, ring.Refuse),
		results:  ring.New[moveResult]("planner-results", queueSize, ring.Wait),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiting:  map[topo.Service]bool{},
	}
}

// run makes decisions until ctx ends.
func (d *decider) run(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	var changed <-chan struct{}
	var earliest time.Time
	decideSoon := func() { next.Reset(max(changeDelay, time.Until(earliest))) }
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-d.results.Items():
			d.handleResult(result)
		case <-d.module.writer.Finished():
			decideSoon()
		case <-changed:
			changed = nil // the next decision covers all further changes
			decideSoon()
		case <-next.C:
			changed = d.module.source.Changed()
			startedAt := time.Now()
			d.decide(ctx, startedAt)
			earliest = time.Now().Add(restAfter(time.Since(startedAt)))
			next.Reset(max(decisionInterval, time.Until(earliest)))
		}
	}
}

// restAfter returns the minimum pause after a decision. The pause is restFactor
// times the duration of the decision, so that decisions use about 1/restFactor of
// a core: on a large site, where each takes longer, there are fewer of them. The
// pause is at most maxRest.
func restAfter(elapsed time.Duration) time.Duration { return min(restFactor*elapsed, maxRest) }

// decide makes and carries out one decision. If this node does not hold the role,
// it discards the tracker, because another node makes decisions in the meantime.
func (d *decider) decide(ctx context.Context, now time.Time) {
	if !d.module.roles.Holds(membership.RolePlanner) {
		d.tracker = nil
		return
	}
	if d.tracker == nil {
		d.tracker = core.NewTracker()
	}
	view := d.module.source.View()
	if view.Site() == nil {
		return
	}
	metricDecisions.Add(1)
	collector := d.module.inbox.collector(now, d.module.reporting().MaxAge())
	plan := core.Decide(&core.Input{
		Now:      now,
		View:     view,
		Policy:   d.module.policy,
		Tracker:  d.tracker,
		Snapshot: func(service topo.Service) load.Snapshot { return collector.Snapshot(now, service) },
		Rand:     d.random,
	})
	d.logNewlyWaiting(plan.Waiting)
	d.assign(ctx, &plan)
	d.enqueueRequests(ctx, &plan, now)
	d.latest.Store(&decisionSummary{
		At: now, Applied: view.Applied(), Assign: len(plan.Assign), Requests: len(plan.Requests),
		Waiting: plan.Waiting, Tracker: d.tracker.Dump(),
	})
}

func (d *decider) logNewlyWaiting(services []topo.Service) {
	now := map[topo.Service]bool{}
	for _, service := range services {
		now[service] = true
		if !d.waiting[service] {
			eventWaiting.Log(d.module.logger, "service", service)
		}
	}
	d.waiting = now
}

// assign submits the assignments of shards without an owner.
func (d *decider) assign(ctx context.Context, plan *core.Plan) {
	var batch []submit.Submission
	for _, record := range core.Records(plan.Assign, "unowned") {
		count := len(record.GetAssignShards().GetAssignments())
		batch = append(batch, submit.Submission{
			Record: record,
			Done:   func(outcome follower.Outcome, err error) { d.assignmentsDone(count, outcome, err) },
		})
	}
	d.module.writer.Offer(ctx, batch)
}

func (d *decider) assignmentsDone(count int, outcome follower.Outcome, err error) {
	logger := d.module.logger
	metricRecords.Add(1)
	if err != nil {
		metricAssignUnknown.Add(1)
		eventAssignUnknown.Log(logger, "shards", count, "error", err)
		return
	}
	rejected := len(outcome.RejectedShards)
	if !outcome.Accepted {
		rejected = count
	}
	if rejected > 0 {
		metricAssignNoEffect.Add(int64(rejected))
		eventAssignNoEffect.Log(logger, "offset", outcome.Offset, "shards", rejected, "conflict", outcome.Conflict)
	}
	if assigned := count - rejected; assigned > 0 {
		metricAssigned.Add(int64(assigned))
		eventAssigned.Log(logger, "offset", outcome.Offset, "shards", assigned)
	}
}

// enqueueRequests queues the requests to lessors and records their moves as in
// flight. Requests that the full queue refuses are dropped.
func (d *decider) enqueueRequests(ctx context.Context, plan *core.Plan, now time.Time) {
	for i := range plan.Requests {
		request := &plan.Requests[i]
		if d.requests.Put(ctx, request) == nil {
			d.tracker.Started(request, now)
		}
	}
}

// handleResult records the outcome of a request.
func (d *decider) handleResult(result moveResult) {
	if d.tracker != nil {
		d.tracker.Answered(result.request, int(result.accepted), time.Now())
	}
	notAccepted := len(result.request.Moves) - int(result.accepted)
	if notAccepted <= 0 {
		return
	}
	metricMovesFailed.Add(int64(notAccepted))
	eventMovesFailed.Log(d.module.logger, "group", result.request.Group, "reason", result.request.Reason,
		"moves", len(result.request.Moves), "notTaken", notAccepted, "error", result.err)
}
