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
// start. That clock must go on while the server's VM is paused. It is read
// after the call's message arrived; calls need not be made in the order in
// which they read it.
type Holder struct {
	boot    topo.BootID
	highest topo.Term
	lessor  string // user of highest; empty when it was only acknowledged
	expires time.Duration
	// period counts the unbroken spans of the lease: it rises when a renewal
	// comes after the lease had lapsed.
	period uint64

	listTerm   topo.Term // term that the grant list is of
	generation uint64
	grants     map[topo.ShardID]grant
	standby    map[topo.ShardID]topo.Fence
	// highestFence is the highest fence ever granted of each shard.
	highestFence map[topo.ShardID]topo.Fence
	// activated holds the standby grants that were ever served.
	activated map[topo.ShardID]topo.Fence
	// active and digest describe the four above for replies; they are made
	// anew when a list is taken.
	active []serverapi.Grant
	digest string

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
	shard  topo.ShardID
	fence  topo.Fence
	key    string
	period uint64
}

// NewHolder returns the rule for a new run of a server, which holds nothing.
// The boot must differ from that of every earlier run.
func NewHolder(boot topo.BootID) *Holder {
	h := &Holder{
		boot:         boot,
		grants:       map[topo.ShardID]grant{},
		standby:      map[topo.ShardID]topo.Fence{},
		highestFence: map[topo.ShardID]topo.Fence{},
		activated:    map[topo.ShardID]topo.Fence{},
		runs:         map[RunID]claim{},
	}
	h.describe()
	return h
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
	wanted := claim{shard: shard, fence: fence, key: key, period: h.period}
	if problem := h.problemWith(now, wanted); problem != "" {
		return 0, refusal(wanted, problem)
	}
	h.lastRun++
	h.runs[h.lastRun] = wanted
	return h.lastRun, nil
}

// Recheck decides whether the ownership that a run was begun under still holds.
// A server calls it after the run took effect and before it answers: what was
// done after ownership ended must not be given out as the owner's answer. The
// error is a *NotOwnerError.
//
// A shard that was revoked in the meantime still belongs to its runs in flight,
// since the lessor waits until they are reported to be over, but only while the
// lease has not lapsed once: after a lapse the lessor waits for nobody.
func (h *Holder) Recheck(now time.Duration, run RunID) error {
	begun, exists := h.runs[run]
	if !exists {
		return &NotOwnerError{Problem: ProblemNotBegun}
	}
	problem := h.problemWith(now, begun)
	revoked := problem != "" && problem != ProblemLapsed
	if revoked && begun.period == h.period && !h.replaced(begun) {
		return nil
	}
	return refusal(begun, problem)
}

// replaced reports whether a higher fence was granted of what a run holds.
func (h *Holder) replaced(begun claim) bool {
	return begun.fence.Less(h.highestFence[begun.shard]) ||
		begun.fence.Less(h.highestFence[begun.split()])
}

// split returns the shard that the run's key would have by itself.
func (c claim) split() topo.ShardID {
	shard := c.shard
	shard.Key = c.key
	return shard
}

// End takes a run out of the count of those in flight.
func (h *Holder) End(run RunID) { delete(h.runs, run) }

func refusal(wanted claim, problem Problem) error {
	if problem == "" {
		return nil
	}
	return &NotOwnerError{Shard: wanted.shard, Fence: wanted.fence, Problem: problem}
}

// problemWith says why a claim does not hold; empty when it does.
func (h *Holder) problemWith(now time.Duration, wanted claim) Problem {
	if !h.Valid(now) {
		return ProblemLapsed
	}
	return h.problemWithGrant(wanted)
}

// problemWithGrant says why a claim is not granted, the lease apart.
func (h *Holder) problemWithGrant(wanted claim) Problem {
	held, exists := h.grants[wanted.shard]
	switch {
	case !exists:
		return ProblemNotGranted
	case held.fence != wanted.fence:
		return ProblemOtherFence
	case wanted.shard.Key == "" && held.except[wanted.key]:
		return ProblemExcepted
	case wanted.shard.Key != "" && wanted.shard.Key != wanted.key:
		return ProblemOtherKey
	}
	return ""
}

// reply describes the holder as of now.
func (h *Holder) reply(now time.Duration, refused string, withActive bool) serverapi.LeaseReply {
	reply := serverapi.LeaseReply{
		Refused:     refused,
		Boot:        h.boot,
		Stamp:       int64(now),
		HighestTerm: h.highest.String(),
		RemainingMs: h.remainingMs(now),
		Digest:      h.digest,
		Busy:        h.busy(),
		Draining:    h.draining,
	}
	if h.listTerm == h.highest {
		reply.Generation = h.generation
	}
	if withActive || refused != "" {
		reply.Active = h.active
	}
	return reply
}

func (h *Holder) remainingMs(now time.Duration) int64 {
	if !h.Valid(now) {
		return 0
	}
	return int64(math.Ceil(float64(h.expires-now) / float64(time.Millisecond)))
}
