package lease

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Holder implements the lease protocol on a backend server: it processes lease
// requests and acknowledgements, and decides whether a request for a shard under
// a fence may run. It is not safe for concurrent use; the server guards it with a
// mutex.
//
// Every `now` is a reading of the server's monotonic clock: the time since the
// server's start. That clock must advance while the server's VM is paused. It is
// read after the message of the call has arrived; calls need not be made in the
// order in which they read it.
type Holder struct {
	boot    topo.BootID
	highest topo.Term
	lessor  string // lessor of highest; empty when that term was only acknowledged
	expires time.Duration
	// period numbers the continuous periods of the lease: it is incremented when
	// a renewal arrives after the lease has expired.
	period uint64

	listTerm   topo.Term // term of the grant list
	generation uint64
	grants     map[topo.ShardID]grant
	standby    map[topo.ShardID]topo.Fence
	// highestFence is the highest fence ever granted for each shard.
	highestFence map[topo.ShardID]topo.Fence
	// activated has the standby grants that were ever activated. A later grant of
	// the shard with a fence of rank 0 removes its entry.
	activated map[topo.ShardID]topo.Fence
	// active and digest describe grants and activated in replies. They are
	// recomputed when a list is accepted.
	active []serverapi.Grant
	digest string

	runs      map[RunID]claim
	lastRunID RunID
	draining  bool
}

// grant is one shard that the server may serve.
type grant struct {
	fence  topo.Fence
	except map[string]bool
}

// RunID identifies one run of a request between Begin and End.
type RunID uint64

// claim is the ownership under which a run was begun.
type claim struct {
	shard  topo.ShardID
	fence  topo.Fence
	key    string
	period uint64
}

// NewHolder returns the holder of a new incarnation of a server, without grants.
// The boot must differ from that of every earlier incarnation.
func NewHolder(boot topo.BootID) *Holder {
	h := &Holder{
		boot:         boot,
		grants:       map[topo.ShardID]grant{},
		standby:      map[topo.ShardID]topo.Fence{},
		highestFence: map[topo.ShardID]topo.Fence{},
		activated:    map[topo.ShardID]topo.Fence{},
		runs:         map[RunID]claim{},
	}
	h.updateActive()
	return h
}

// Boot returns the incarnation of the server.
func (h *Holder) Boot() topo.BootID { return h.boot }

// SetDraining sets whether later replies report to the lessor that the server is
// draining. A draining server continues to serve its grants.
func (h *Holder) SetDraining(draining bool) { h.draining = draining }

// Expires returns the end of the lease, or 0 if there never was one.
func (h *Holder) Expires() time.Duration { return h.expires }

// Valid reports whether the lease is unexpired.
func (h *Holder) Valid(now time.Duration) bool { return now < h.expires }

// Begin decides whether a request for a key of a shard under a fence may run
// now, and if so records it as in flight. The error is a *NotOwnerError. End must
// be called for every run that was begun.
func (h *Holder) Begin(now time.Duration, shard topo.ShardID, fence topo.Fence, key string) (RunID, error) {
	requested := claim{shard: shard, fence: fence, key: key, period: h.period}
	if problem := h.problemWith(now, requested); problem != "" {
		return 0, refusal(requested, problem)
	}
	h.lastRunID++
	h.runs[h.lastRunID] = requested
	return h.lastRunID, nil
}

// Recheck decides whether the ownership under which a run was begun is still in
// force. A server calls it after the run took effect and before it responds,
// because the result of a run that ended after the loss of ownership must not be
// returned as the owner's response. The error is a *NotOwnerError.
//
// Runs in flight keep a shard that was revoked in the meantime, because the
// lessor waits until the server reports that they have ended. This applies only
// while the lease has not expired since the run began: the lessor does not wait
// for runs of an expired lease.
func (h *Holder) Recheck(now time.Duration, run RunID) error {
	begun, exists := h.runs[run]
	if !exists {
		return &NotOwnerError{Problem: ProblemNotBegun}
	}
	problem := h.problemWith(now, begun)
	revoked := problem != "" && problem != ProblemExpired
	if revoked && begun.period == h.period && !h.replaced(begun) {
		return nil
	}
	return refusal(begun, problem)
}

// replaced reports whether a higher fence was granted for the shard of a run or
// for its key alone.
func (h *Holder) replaced(begun claim) bool {
	return begun.fence.Less(h.highestFence[begun.shard]) ||
		begun.fence.Less(h.highestFence[begun.split()])
}

// split returns the shard that consists of the run's key alone.
func (c claim) split() topo.ShardID {
	shard := c.shard
	shard.Key = c.key
	return shard
}

// End removes a run from those in flight.
func (h *Holder) End(run RunID) { delete(h.runs, run) }

func refusal(refused claim, problem Problem) error {
	if problem == "" {
		return nil
	}
	return &NotOwnerError{Shard: refused.shard, Fence: refused.fence, Problem: problem}
}

// problemWith returns the reason why a claim is not valid, or "" if it is.
func (h *Holder) problemWith(now time.Duration, claimed claim) Problem {
	if !h.Valid(now) {
		return ProblemExpired
	}
	return h.problemWithGrant(claimed)
}

// problemWithGrant returns the reason why the grants don't cover a claim, or "".
// It ignores the expiry of the lease.
func (h *Holder) problemWithGrant(claimed claim) Problem {
	held, exists := h.grants[claimed.shard]
	switch {
	case !exists:
		return ProblemNotGranted
	case held.fence != claimed.fence:
		return ProblemOtherFence
	case claimed.shard.Key == "" && held.except[claimed.key]:
		return ProblemExcepted
	case claimed.shard.Key != "" && claimed.shard.Key != claimed.key:
		return ProblemOtherKey
	}
	return ""
}

// reply returns a reply with the holder's state as of now.
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
