package lease

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Holder is the rule that a backend server follows: it takes lease requests and
// acknowledgements, and decides whether a request for a shard under a fence may
// be run. It is not safe for concurrent use; the server guards it with a mutex.
//
// Every `now` is the server's monotonic clock: the time since the server's
// start. That clock must go on while the server's VM is paused. Within one
// Holder it must never go backwards.
type Holder struct {
	boot    topo.BootID
	highest topo.Term
	lessor  string // user of highest; empty when it was only acknowledged
	expires time.Duration

	listTerm   topo.Term // term that the grant list is of
	generation uint64
	grants     map[topo.ShardID]grant
	standby    map[topo.ShardID]topo.Fence
	// highestFence is the highest fence ever granted of each shard.
	highestFence map[topo.ShardID]topo.Fence
	// activated holds the standby grants that were ever served.
	activated map[topo.ShardID]topo.Fence

	runs     map[RunID]claim
	lastRun  RunID
	draining bool
}

// grant is one shard that the server may serve.
type grant struct {
	fence  topo.Fence
	except map[string]bool
}

// RunID names one run between Begin and End.
type RunID uint64

// claim is what a run was begun under.
type claim struct {
	shard topo.ShardID
	fence topo.Fence
	key   string
}

// NewHolder returns the rule for a new run of a server, which holds nothing.
// The boot must differ from that of every earlier run.
func NewHolder(boot topo.BootID) *Holder {
	return &Holder{
		boot:         boot,
		grants:       map[topo.ShardID]grant{},
		standby:      map[topo.ShardID]topo.Fence{},
		highestFence: map[topo.ShardID]topo.Fence{},
		activated:    map[topo.ShardID]topo.Fence{},
		runs:         map[RunID]claim{},
	}
}

// Boot returns the run of the server.
func (h *Holder) Boot() topo.BootID { return h.boot }

// SetDraining tells the lessor, with every later reply, whether the server
// wants to leave. It keeps serving what it was granted.
func (h *Holder) SetDraining(draining bool) { h.draining = draining }

// Expires returns when the lease ends; 0 when there never was one.
func (h *Holder) Expires() time.Duration { return h.expires }

// Valid reports whether the lease is unexpired.
func (h *Holder) Valid(now time.Duration) bool { return now < h.expires }

// Begin decides whether a request for a key of a shard under a fence may be
// run now, and counts it as in flight if so. The error is a *NotOwnerError.
// End must be called for every run that was begun.
func (h *Holder) Begin(now time.Duration, shard topo.ShardID, fence topo.Fence, key string) (RunID, error) {
	wanted := claim{shard: shard, fence: fence, key: key}
	if err := h.check(now, wanted); err != nil {
		return 0, err
	}
	h.lastRun++
	h.runs[h.lastRun] = wanted
	return h.lastRun, nil
}

// Recheck decides whether the ownership that a run was begun under still holds.
// A server calls it after the run took effect and before it answers: what was
// done after ownership ended must not be given out as the owner's answer.
func (h *Holder) Recheck(now time.Duration, run RunID) error {
	held, exists := h.runs[run]
	if !exists {
		return &NotOwnerError{Problem: ProblemNotBegun}
	}
	return h.check(now, held)
}

// End takes a run out of the count of those in flight.
func (h *Holder) End(run RunID) { delete(h.runs, run) }

func (h *Holder) check(now time.Duration, wanted claim) error {
	refuse := func(problem Problem) error {
		return &NotOwnerError{Shard: wanted.shard, Fence: wanted.fence, Problem: problem}
	}
	if !h.Valid(now) {
		return refuse(ProblemLapsed)
	}
	held, exists := h.grants[wanted.shard]
	switch {
	case !exists:
		return refuse(ProblemNotGranted)
	case held.fence != wanted.fence:
		return refuse(ProblemOtherFence)
	case wanted.shard.Key == "" && held.except[wanted.key]:
		return refuse(ProblemExcepted)
	case wanted.shard.Key != "" && wanted.shard.Key != wanted.key:
		return refuse(ProblemOtherKey)
	}
	return nil
}

// reply describes the holder as of now.
func (h *Holder) reply(now time.Duration, refused string, withActive bool) serverapi.LeaseReply {
	active := h.active()
	reply := serverapi.LeaseReply{
		Refused:     refused,
		Boot:        h.boot,
		Stamp:       int64(now),
		HighestTerm: h.highest.String(),
		RemainingMs: h.remainingMs(now),
		Digest:      serverapi.GrantsDigest(active),
		Busy:        h.busy(),
		Draining:    h.draining,
	}
	if h.listTerm == h.highest {
		reply.Generation = h.generation
	}
	if withActive || refused != "" {
		reply.Active = active
	}
	return reply
}

func (h *Holder) remainingMs(now time.Duration) int64 {
	if !h.Valid(now) {
		return 0
	}
	return int64(math.Ceil(float64(h.expires-now) / float64(time.Millisecond)))
}
