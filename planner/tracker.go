package planner

import (
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// MoveTimeout is how long a move may be under way before it is planned anew.
	MoveTimeout = 15 * time.Second
	// RetryRefusedAfter is how long a move that the lessor did not take is left
	// alone.
	RetryRefusedAfter = time.Second
	// RetryPartialAfter is the same when the lessor took some of a request's moves: it
	// says how many, not which, and refuses those that are under way.
	RetryPartialAfter = 3 * time.Second
	// maxAppliedSamples is how many moments the tracker remembers, and markEvery how far
	// they are apart; together they reach back over the longest dwell of a policy.
	maxAppliedSamples     = 64
	appliedSampleInterval = time.Second
)

// Tracker remembers, between decisions, which moves are under way, when owners
// changed and how many moves were made. It is not safe for concurrent use.
type Tracker struct {
	view              *state.View
	now               time.Time
	moving            map[topo.ShardID]pendingMove
	inFlightByService map[topo.Service]int // of moving
	splitsByRange     map[topo.ShardID]int // of moving that split a key out, by hash range
	appliedSamples    []appliedSample      // oldest first
	blockedSince      map[topo.Service]time.Time
	allowances        map[topo.Service]*serviceAllowance
}

// pendingMove is a move that a lessor accepted.
type pendingMove struct {
	fence topo.Fence // in force when it was asked for
	split bool       // makes a key an entry of its own
	since time.Time
}

// appliedSample says how far the log was applied at a moment.
type appliedSample struct {
	at      time.Time
	applied topo.Offset
}

type serviceAllowance struct {
	weighting siteconfig.Weighting
	allowance *balance.Allowance
}

// NewTracker returns a tracker without memory.
func NewTracker() *Tracker {
	return &Tracker{
		moving:            map[topo.ShardID]pendingMove{},
		inFlightByService: map[topo.Service]int{},
		splitsByRange:     map[topo.ShardID]int{},
		blockedSince:      map[topo.Service]time.Time{},
		allowances:        map[topo.Service]*serviceAllowance{},
	}
}

// Observe takes the state as of now: moves that were made, or have taken too
// long, are no longer under way.
func (t *Tracker) Observe(now time.Time, view *state.View) {
	t.now, t.view = now, view
	if len(t.appliedSamples) == 0 || now.Sub(t.appliedSamples[len(t.appliedSamples)-1].at) >= appliedSampleInterval {
		t.appliedSamples = append(t.appliedSamples, appliedSample{at: now, applied: view.Applied()})
		if len(t.appliedSamples) > maxAppliedSamples {
			t.appliedSamples = t.appliedSamples[1:]
		}
	}
	for id, move := range t.moving {
		if now.Sub(move.since) >= MoveTimeout || move.resolved(view, id) {
			t.untrack(id)
		}
	}
}

func (t *Tracker) track(id topo.ShardID, move pendingMove) {
	t.untrack(id)
	t.moving[id] = move
	t.inFlightByService[id.Service]++
	if move.split {
		t.splitsByRange[rangeOf(id)]++
	}
}

func (t *Tracker) untrack(id topo.ShardID) {
	move, inFlight := t.moving[id]
	if !inFlight {
		return
	}
	delete(t.moving, id)
	t.inFlightByService[id.Service]--
	if move.split {
		t.splitsByRange[rangeOf(id)]--
	}
}

// rangeOf returns the hash range that contains a split key.
func rangeOf(id topo.ShardID) topo.ShardID {
	return topo.ShardID{Service: id.Service, Index: id.Index}
}

// Failed notes that no lessor took any of a request's moves.
func (t *Tracker) Failed(request *Request, now time.Time) { t.Answered(request, 0, now) }

// resolved reports whether a move took effect, or another change came before it.
func (p pendingMove) resolved(view *state.View, id topo.ShardID) bool {
	current, exists := view.Shard(id)
	if p.split {
		return exists
	}
	return !exists || current.Fence != p.fence
}

// Started notes the moves of a request as under way.
func (t *Tracker) Started(request *Request, now time.Time) {
	for _, move := range request.Moves {
		id := ShardFromProto(move.GetShard())
		_, exists := t.view.Shard(id)
		fence := topo.MakeFence(topo.Offset(move.GetFence().GetOffset()), move.GetFence().GetRank())
		t.track(id, pendingMove{fence: fence, split: !exists, since: now})
	}
}

// Answered notes how many of a request's moves the lessor took. Those that it
// did not take are planned anew after a while.
func (t *Tracker) Answered(request *Request, accepted int, now time.Time) {
	retry := RetryPartialAfter
	switch {
	case accepted >= len(request.Moves):
		return
	case accepted == 0:
		retry = RetryRefusedAfter
	}
	for _, move := range request.Moves {
		id := ShardFromProto(move.GetShard())
		if known, inFlight := t.moving[id]; inFlight {
			known.since = now.Add(retry - MoveTimeout)
			t.moving[id] = known
		}
	}
}

// Moving implements load.Planned. A hash range out of which a key is being
// split counts as moving too.
func (t *Tracker) Moving(id topo.ShardID) bool {
	_, inFlight := t.moving[id]
	return inFlight || t.splitsByRange[id] > 0
}

// Changed implements load.Planned: the first remembered moment at which the
// record that made the present fence was applied.
func (t *Tracker) Changed(id topo.ShardID) time.Time {
	current, exists := t.view.Shard(id)
	if !exists || len(t.appliedSamples) == 0 || current.Fence.Offset <= t.appliedSamples[0].applied {
		return time.Time{}
	}
	for _, m := range t.appliedSamples {
		if m.applied >= current.Fence.Offset {
			return m.at
		}
	}
	return t.now
}

// inFlight returns how many moves of a service are under way.
func (t *Tracker) inFlight(service topo.Service) int { return t.inFlightByService[service] }

// blockedFor returns for how long a service has waited for others.
func (t *Tracker) blockedFor(service topo.Service, now time.Time) time.Duration {
	since, waiting := t.blockedSince[service]
	if !waiting {
		t.blockedSince[service] = now
		return 0
	}
	return now.Sub(since)
}

func (t *Tracker) clearBlocked(service topo.Service) { delete(t.blockedSince, service) }

// allowance returns what rations a service's moves for load.
func (t *Tracker) allowance(service *siteconfig.Service, now time.Time) *balance.Allowance {
	known, exists := t.allowances[service.Name]
	if !exists || known.weighting != service.Weighting {
		known = &serviceAllowance{
			weighting: service.Weighting,
			allowance: balance.NewAllowance(service.Weighting, now),
		}
		t.allowances[service.Name] = known
	}
	return known.allowance
}

// Dump is the tracker's part of the state dump.
type Dump struct {
	InFlight     map[topo.Service]int       `json:"underWay"`
	WaitingSince map[topo.Service]time.Time `json:"waitingSince"`
}

// Dump returns a copy of what is under way and waiting.
func (t *Tracker) Dump() Dump {
	d := Dump{InFlight: map[topo.Service]int{}, WaitingSince: map[topo.Service]time.Time{}}
	for service, count := range t.inFlightByService {
		d.InFlight[service] = count
	}
	for service, since := range t.blockedSince {
		d.WaitingSince[service] = since
	}
	return d
}
