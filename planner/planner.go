// Package planner decides where shards should be. It assigns shards without an
// owner, moves shards off draining servers, chooses missing standby servers,
// starts and retires services in the order of their dependencies, and turns the
// balancing policy's moves into requests to lessors. The decisions have no side
// effects; modules/planner carries them out. See docs/design/membership.md.
package planner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Limits of one decision. They bound its duration and the size of its records.
const (
	MaxAssignments = 4096 // shards without an owner, over all services
	MaxPerRecord   = 1024 // assignments in one record
	MaxPerRequest  = 256  // moves in one request to a lessor
	// MaxInFlightMoves limits the concurrent moves of one service. It does not
	// apply to moves because of load, which balance.Allowance limits.
	MaxInFlightMoves = 256
	// MaxProbes is the maximum number of servers that a probe-limited policy may
	// examine.
	MaxProbes = 64
)

// Input contains the data that a decision depends on, including the state that
// Tracker keeps between decisions.
type Input struct {
	Now     time.Time
	View    *state.View
	Policy  balance.Policy
	Tracker *Tracker
	// Snapshot returns the load of a service that the entry nodes observed.
	Snapshot func(topo.Service) load.Snapshot
	Rand     *rand.Rand
}

// Request is a set of moves for the lessor of one group.
type Request struct {
	Group  topo.GroupID
	Reason string
	Moves  []*bspb.ShardMove
}

// Proto returns the request as a message of the peer protocol.
func (r *Request) Proto() *bspb.MoveRequest {
	return &bspb.MoveRequest{Group: string(r.Group), Moves: r.Moves, Reason: r.Reason}
}

// Plan is the result of one decision.
type Plan struct {
	// Assign assigns shards without an owner to servers, in order of importance.
	Assign []*bspb.Assignment
	// Requests are the requests to lessors to move owned shards.
	Requests []Request
	// Waiting lists services that are not started yet because one of their
	// dependencies is not ready.
	Waiting []topo.Service
}

// Reasons of moves that the balancing policy does not decide.
const (
	ReasonRetire  = "retire"
	ReasonStandby = "standby"
)

// Decide makes one plan. It plans nothing for shards with a move in flight, so
// that the caller may call it as often as needed.
func Decide(in *Input) Plan {
	in.Tracker.Observe(in.Now, in.View)
	d := &decision{in: in, requests: map[requestKey]*Request{}, planned: map[topo.ShardID]bool{}}
	for _, service := range startOrder(in.View.Site()) {
		d.planService(service)
	}
	for _, name := range releasableServices(in.View) {
		d.releaseService(name)
	}
	d.plan.Requests = d.sortedRequests()
	return d.plan
}

// decision builds one plan.
type decision struct {
	in       *Input
	plan     Plan
	requests map[requestKey]*Request
	planned  map[topo.ShardID]bool // shards that the plan already moves
}

type requestKey struct {
	group  topo.GroupID
	reason string
}

// planService adds one service of the site configuration to the plan. Services
// that are not keyed have no shards and are skipped.
func (d *decision) planService(service *siteconfig.Service) {
	if !service.Keyed {
		return
	}
	if !d.mayAssign(service) {
		d.plan.Waiting = append(d.plan.Waiting, service.Name)
		return
	}
	pool := newServerPool(d.in.View, service)
	if len(pool.live) == 0 {
		return
	}
	d.balance(pool)
	d.replaceMissingStandbys(pool)
}

// mayAssign reports whether a service's shards may be assigned: the service has
// started, its dependencies are ready, or it has waited for DependencyTimeout.
func (d *decision) mayAssign(service *siteconfig.Service) bool {
	if hasOwnedShards(d.in.View, service.Name) || dependenciesReady(d.in.View, service) {
		d.in.Tracker.clearBlocked(service.Name)
		return true
	}
	return d.in.Tracker.blockedFor(service.Name, d.in.Now) >= DependencyTimeout
}

// addMove adds a move of an owned shard to the request for its owner's lessor and
// reports whether it was added. A plan moves each shard for one reason only.
func (d *decision) addMove(current state.Assignment, next *bspb.ShardMove, reason string) bool {
	id := ShardFromProto(next.GetShard())
	if d.planned[id] {
		return false
	}
	owner, exists := d.in.View.Server(current.Owner)
	if !exists {
		return false
	}
	if group, claimed := d.in.View.Group(owner.Group); !claimed || group.Lessor == "" {
		return false
	}
	next.Fence = fenceToProto(current.Fence)
	key := requestKey{group: owner.Group, reason: reason}
	request, open := d.requests[key]
	if !open {
		request = &Request{Group: owner.Group, Reason: reason}
		d.requests[key] = request
	}
	if len(request.Moves) >= MaxPerRequest {
		return false
	}
	request.Moves = append(request.Moves, next)
	d.planned[id] = true
	return true
}

func (d *decision) sortedRequests() []Request {
	list := make([]Request, 0, len(d.requests))
	for _, request := range d.requests {
		list = append(list, *request)
	}
	slices.SortFunc(list, func(a, b Request) int {
		if a.Group != b.Group {
			return compare(a.Group, b.Group)
		}
		return compare(a.Reason, b.Reason)
	})
	return list
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func fenceToProto(f topo.Fence) *bspb.Ordinal {
	return &bspb.Ordinal{Offset: uint64(f.Offset), Rank: f.Rank}
}

// Records packs assignments into records of at most MaxPerRecord.
func Records(assignments []*bspb.Assignment, reason string) []*bspb.Record {
	var records []*bspb.Record
	for chunk := range slices.Chunk(assignments, MaxPerRecord) {
		body := &bspb.AssignShards{Assignments: chunk, Reason: reason}
		records = append(records, &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: body}})
	}
	return records
}

func shardToProto(id topo.ShardID) *bspb.ShardRef {
	return &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key}
}

// ShardFromProto converts a shard reference to a shard ID.
func ShardFromProto(ref *bspb.ShardRef) topo.ShardID {
	return topo.ShardID{Service: topo.Service(ref.GetService()), Index: ref.GetIndex(), Key: ref.GetKey()}
}
