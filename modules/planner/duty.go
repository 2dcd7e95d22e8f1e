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

// requestsSize bounds the requests to lessors that wait to be sent; what does
// not fit is planned again.
const requestsSize = 128

// duty is the goroutine that decides while this node holds the planner's role.
type duty struct {
	module   *Module
	requests *ring.Ring[*core.Request]
	results  *ring.Ring[moveResult]
	latest   atomic.Pointer[decided]

	tracker *core.Tracker
	random  *rand.Rand
	waiting map[topo.Service]bool
}

// decided is the latest decision's row in the state dump.
type decided struct {
	At       time.Time      `json:"at"`
	Applied  topo.Offset    `json:"applied"`
	Assign   int            `json:"assign"`
	Requests int            `json:"requests"`
	Waiting  []topo.Service `json:"waiting"`
	Tracker  core.Dump      `json:"tracker"`
}

func newDuty(m *Module) *duty {
	return &duty{
		module:   m,
		requests: ring.New[*core.Request]("planner-requests", requestsSize, ring.Refuse),
		results:  ring.New[moveResult]("planner-results", requestsSize, ring.Wait),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiting:  map[topo.Service]bool{},
	}
}

// run ends with ctx.
func (d *duty) run(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	var changed <-chan struct{}
	var earliest time.Time
	soon := func() { next.Reset(max(settleFor, time.Until(earliest))) }
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-d.results.Items():
			d.take(result)
		case <-d.module.writer.Finished():
			soon()
		case <-changed:
			changed = nil // one change is enough to decide anew
			soon()
		case <-next.C:
			changed = d.module.source.Changed()
			began := time.Now()
			d.step(ctx, began)
			earliest = time.Now().Add(rest(time.Since(began)))
			next.Reset(max(decideEvery, time.Until(earliest)))
		}
	}
}

// rest returns how long to rest after a decision that took a time, so that
// decisions take one part in workShare of a core at most: on a large site they
// become fewer, not dearer.
func rest(took time.Duration) time.Duration { return min(workShare*took, longestRest) }

// step makes and carries out one decision. Without the role it forgets what it
// knew, since another node's decisions come in between.
func (d *duty) step(ctx context.Context, now time.Time) {
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
		Now:     now,
		View:    view,
		Policy:  d.module.policy,
		Tracker: d.tracker,
		Picture: func(service topo.Service) load.Picture { return collector.Picture(now, service) },
		Rand:    d.random,
	})
	d.noteWaiting(plan.Waiting)
	d.assign(ctx, &plan)
	d.request(ctx, &plan, now)
	d.latest.Store(&decided{
		At: now, Applied: view.Applied(), Assign: len(plan.Assign), Requests: len(plan.Requests),
		Waiting: plan.Waiting, Tracker: d.tracker.Dump(),
	})
}

func (d *duty) noteWaiting(services []topo.Service) {
	now := map[topo.Service]bool{}
	for _, service := range services {
		now[service] = true
		if !d.waiting[service] {
			eventWaiting.Log(d.module.logger, "service", service)
		}
	}
	d.waiting = now
}

// assign writes the assignments of shards that nobody owns.
func (d *duty) assign(ctx context.Context, plan *core.Plan) {
	var batch []submit.Submission
	for _, record := range core.Records(plan.Assign, "unowned") {
		count := len(record.GetAssignShards().GetAssignments())
		batch = append(batch, submit.Submission{
			Record: record,
			Done:   func(fate follower.Fate, err error) { d.settled(count, fate, err) },
		})
	}
	d.module.writer.Offer(ctx, batch)
}

func (d *duty) settled(count int, fate follower.Fate, err error) {
	logger := d.module.logger
	metricRecords.Add(1)
	if err != nil {
		metricAssignUnknown.Add(1)
		eventAssignUnknown.Log(logger, "shards", count, "error", err)
		return
	}
	rejected := len(fate.RejectedShards)
	if !fate.Accepted {
		rejected = count
	}
	if rejected > 0 {
		metricAssignRefused.Add(int64(rejected))
		eventAssignRefused.Log(logger, "offset", fate.Offset, "shards", rejected, "conflict", fate.Conflict)
	}
	if assigned := count - rejected; assigned > 0 {
		metricAssigned.Add(int64(assigned))
		eventAssigned.Log(logger, "offset", fate.Offset, "shards", assigned)
	}
}

// request hands the moves over to be sent.
func (d *duty) request(ctx context.Context, plan *core.Plan, now time.Time) {
	for i := range plan.Requests {
		request := &plan.Requests[i]
		if d.requests.Put(ctx, request) == nil {
			d.tracker.Started(request, now)
		}
	}
}

// take notes what became of a request.
func (d *duty) take(result moveResult) {
	if d.tracker != nil {
		d.tracker.Answered(result.request, int(result.accepted), time.Now())
	}
	left := len(result.request.Moves) - int(result.accepted)
	if left <= 0 {
		return
	}
	metricMovesFailed.Add(int64(left))
	eventMovesFailed.Log(d.module.logger, "group", result.request.Group, "reason", result.request.Reason,
		"moves", len(result.request.Moves), "notTaken", left, "error", result.err)
}
