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
	// RetryMoveAfter is how long a move that the lessor did not take is left
	// alone.
	RetryMoveAfter = time.Second
	// RetryPartAfter is the same when the lessor took some of a request's moves: it
	// says how many, not which, and refuses those that are under way.
	RetryPartAfter = 3 * time.Second
	// marksKept is how many moments the tracker remembers, and markEvery how far
	// they are apart; together they reach back over the longest dwell of a policy.
	marksKept = 64
	markEvery = time.Second
)

// Tracker remembers, between decisions, which moves are under way, when owners
// changed and how many moves were made. It is not safe for concurrent use.
type Tracker struct {
	view    *state.View
	now     time.Time
	moving  map[topo.ShardID]pending
	counts  map[topo.Service]int // of moving
	splits  map[topo.ShardID]int // of moving that split a key out, by hash range
	marks   []mark               // oldest first
	blocked map[topo.Service]time.Time
	meters  map[topo.Service]*serviceMeter
}

// pending is a move that a lessor accepted.
type pending struct {
	fence topo.Fence // in force when it was asked for
	split bool       // makes a key an entry of its own
	since time.Time
}

// mark says how far the log was applied at a moment.
type mark struct {
	at      time.Time
	applied topo.Offset
}

type serviceMeter struct {
	weighting siteconfig.Weighting
	allowance *balance.Allowance
}

// NewTracker returns a tracker without memory.
func NewTracker() *Tracker {
	return &Tracker{
		moving:  map[topo.ShardID]pending{},
		counts:  map[topo.Service]int{},
		splits:  map[topo.ShardID]int{},
		blocked: map[topo.Service]time.Time{},
		meters:  map[topo.Service]*serviceMeter{},
	}
}

// Observe takes the state as of now: moves that were made, or have taken too
// long, are no longer under way.
func (t *Tracker) Observe(now time.Time, view *state.View) {
	t.now, t.view = now, view
	if len(t.marks) == 0 || now.Sub(t.marks[len(t.marks)-1].at) >= markEvery {
		t.marks = append(t.marks, mark{at: now, applied: view.Applied()})
		if len(t.marks) > marksKept {
			t.marks = t.marks[1:]
		}
	}
	for id, move := range t.moving {
		if now.Sub(move.since) >= MoveTimeout || move.made(view, id) {
			t.forget(id)
		}
	}
}

func (t *Tracker) remember(id topo.ShardID, move pending) {
	t.forget(id)
	t.moving[id] = move
	t.counts[id.Service]++
	if move.split {
		t.splits[rangeOf(id)]++
	}
}

func (t *Tracker) forget(id topo.ShardID) {
	move, underWay := t.moving[id]
	if !underWay {
		return
	}
	delete(t.moving, id)
	t.counts[id.Service]--
	if move.split {
		t.splits[rangeOf(id)]--
	}
}

// rangeOf returns the hash range that contains a split key.
func rangeOf(id topo.ShardID) topo.ShardID {
	return topo.ShardID{Service: id.Service, Index: id.Index}
}

// Failed notes that no lessor took any of a request's moves.
func (t *Tracker) Failed(request *Request, now time.Time) { t.Answered(request, 0, now) }

// made reports whether a move took effect, or another change came before it.
func (p pending) made(view *state.View, id topo.ShardID) bool {
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
		t.remember(id, pending{fence: fence, split: !exists, since: now})
	}
}

// Answered notes how many of a request's moves the lessor took. Those that it
// did not take are planned anew after a while.
func (t *Tracker) Answered(request *Request, accepted int, now time.Time) {
	retry := RetryPartAfter
	switch {
	case accepted >= len(request.Moves):
		return
	case accepted == 0:
		retry = RetryMoveAfter
	}
	for _, move := range request.Moves {
		id := ShardFromProto(move.GetShard())
		if known, underWay := t.moving[id]; underWay {
			known.since = now.Add(retry - MoveTimeout)
			t.moving[id] = known
		}
	}
}

// Moving implements load.Planned. A hash range out of which a key is being
// split counts as moving too.
func (t *Tracker) Moving(id topo.ShardID) bool {
	_, underWay := t.moving[id]
	return underWay || t.splits[id] > 0
}

// Changed implements load.Planned: the first remembered moment at which the
// record that made the present fence was applied.
func (t *Tracker) Changed(id topo.ShardID) time.Time {
	current, exists := t.view.Shard(id)
	if !exists || len(t.marks) == 0 || current.Fence.Offset <= t.marks[0].applied {
		return time.Time{}
	}
	for _, m := range t.marks {
		if m.applied >= current.Fence.Offset {
			return m.at
		}
	}
	return t.now
}

// underWay returns how many moves of a service are under way.
func (t *Tracker) underWay(service topo.Service) int { return t.counts[service] }

// blockedFor returns for how long a service has waited for others.
func (t *Tracker) blockedFor(service topo.Service, now time.Time) time.Duration {
	since, waiting := t.blocked[service]
	if !waiting {
		t.blocked[service] = now
		return 0
	}
	return now.Sub(since)
}

func (t *Tracker) unblocked(service topo.Service) { delete(t.blocked, service) }

// allowance returns what rations a service's moves for load.
func (t *Tracker) allowance(service *siteconfig.Service, now time.Time) *balance.Allowance {
	known, exists := t.meters[service.Name]
	if !exists || known.weighting != service.Weighting {
		known = &serviceMeter{
			weighting: service.Weighting,
			allowance: balance.NewAllowance(service.Weighting, now),
		}
		t.meters[service.Name] = known
	}
	return known.allowance
}

// Dump is the tracker's part of the state dump.
type Dump struct {
	UnderWay map[topo.Service]int       `json:"underWay"`
	Waiting  map[topo.Service]time.Time `json:"waitingSince"`
}

// Dump returns a copy of what is under way and waiting.
func (t *Tracker) Dump() Dump {
	d := Dump{UnderWay: map[topo.Service]int{}, Waiting: map[topo.Service]time.Time{}}
	for service, count := range t.counts {
		d.UnderWay[service] = count
	}
	for service, since := range t.blocked {
		d.Waiting[service] = since
	}
	return d
}
