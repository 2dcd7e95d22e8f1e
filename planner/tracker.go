package planner

import (
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// MoveTimeout is how long a move may be in flight before it is planned again.
	MoveTimeout = 15 * time.Second
	// RetryRefusedAfter is the delay before moves are planned again when the lessor
	// accepted none of their request.
	RetryRefusedAfter = time.Second
	// RetryPartialAfter is the delay when the lessor accepted only some of a
	// request's moves. It is longer because the response contains the number of
	// accepted moves, not which they are, and the lessor refuses moves that are
	// already in flight.
	RetryPartialAfter = 3 * time.Second
	// maxAppliedSamples is the number of samples of the applied offset that the
	// tracker keeps, and appliedSampleInterval the time between two of them.
	// Together they cover the longest dwell time of a policy.
	maxAppliedSamples     = 64
	appliedSampleInterval = time.Second
)

// Tracker keeps, between decisions, the moves in flight, the times at which
// owners changed and the remaining allowances for moves. It is not safe for
// concurrent use.
type Tracker struct {
	view              *state.View
	now               time.Time
	moving            map[topo.ShardID]pendingMove
	inFlightByService map[topo.Service]int // number of entries in moving
	splitsByRange     map[topo.ShardID]int // entries in moving that split a key out, by hash range
	appliedSamples    []appliedSample      // oldest first
	blockedSince      map[topo.Service]time.Time
	allowances        map[topo.Service]*serviceAllowance
}

// pendingMove is a move that was requested from a lessor.
type pendingMove struct {
	fence topo.Fence // the shard's fence at the time of the request
	split bool       // makes a key a shard of its own
	since time.Time
}

// appliedSample is the offset up to which the log was applied at a time.
type appliedSample struct {
	at      time.Time
	applied topo.Offset
}

type serviceAllowance struct {
	weighting siteconfig.Weighting
	allowance *balance.Allowance
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		moving:            map[topo.ShardID]pendingMove{},
		inFlightByService: map[topo.Service]int{},
		splitsByRange:     map[topo.ShardID]int{},
		blockedSince:      map[topo.Service]time.Time{},
		allowances:        map[topo.Service]*serviceAllowance{},
	}
}

// Observe updates the tracker from the current view. Moves that were made or
// have timed out are no longer in flight.
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

// Failed records that no lessor accepted any of a request's moves.
func (t *Tracker) Failed(request *Request, now time.Time) { t.Answered(request, 0, now) }

// resolved reports whether a move took effect or was superseded by another change
// of the shard.
func (p pendingMove) resolved(view *state.View, id topo.ShardID) bool {
	current, exists := view.Shard(id)
	if p.split {
		return exists
	}
	return !exists || current.Fence != p.fence
}

// Started records the moves of a request as in flight.
func (t *Tracker) Started(request *Request, now time.Time) {
	for _, move := range request.Moves {
		id := ShardFromProto(move.GetShard())
		_, exists := t.view.Shard(id)
		fence := topo.MakeFence(topo.Offset(move.GetFence().GetOffset()), move.GetFence().GetRank())
		t.track(id, pendingMove{fence: fence, split: !exists, since: now})
	}
}

// Answered records how many of a request's moves the lessor accepted. If it did
// not accept all of them, those still in flight are planned again after
// RetryRefusedAfter or RetryPartialAfter.
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

// Moving implements load.PlannedMoves. A hash range from which a key is being split
// out is treated as moving too.
func (t *Tracker) Moving(id topo.ShardID) bool {
	_, inFlight := t.moving[id]
	return inFlight || t.splitsByRange[id] > 0
}

// Changed implements load.PlannedMoves. It returns the time of the first sample at
// which the record that set the current fence was applied, or the zero time if
// that record is older than the samples.
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

// inFlight returns the number of a service's moves in flight.
func (t *Tracker) inFlight(service topo.Service) int { return t.inFlightByService[service] }

// blockedFor returns how long a service has waited for its dependencies. The
// first call for a service starts the wait.
func (t *Tracker) blockedFor(service topo.Service, now time.Time) time.Duration {
	since, waiting := t.blockedSince[service]
	if !waiting {
		t.blockedSince[service] = now
		return 0
	}
	return now.Sub(since)
}

func (t *Tracker) clearBlocked(service topo.Service) { delete(t.blockedSince, service) }

// allowance returns the allowance for a service's moves because of load. It
// starts a new one when the service's weighting changes.
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

// Dump returns the number of moves in flight and the start of waits, by service.
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
