package lease

import (
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Granter counts, for one backend server, the latest moment at which a lease
// that its lessor has renewed may still be valid. It does not decide whether
// the lessor has the right to renew. A Granter belongs to one lessor's term and
// is not safe for concurrent use.
type Granter struct {
	timing Timing
	// boot, stamp and stampAt are the newest stamp known, the server's run that
	// it belongs to, and when the reply that carried it was received.
	boot      topo.BootID
	bootHeard time.Time // when the first reply of boot was received
	stamp     int64
	stampAt   time.Time
	// until is the latest end of any lease that may have been renewed.
	until time.Time
}

// NewGranter returns a granter that has heard nothing of the server and counts
// no lease. A lessor that takes over must itself wait out, or settle by
// acknowledgements, what earlier lessors may have renewed.
func NewGranter(timing Timing) *Granter { return &Granter{timing: timing} }

// Boot returns the run of the server that was heard last; empty when none was.
func (g *Granter) Boot() topo.BootID { return g.boot }

// Renewal returns the boot and stamp that a renewal sent now must echo, and
// counts the lease that it may bring about. It must be called before the
// renewal is sent. ok is false when no stamp is known: the request must then
// ask for a stamp only, with an empty boot.
//
// A stamp that is so old that its lease would have lapsed already is not worth
// sending: ok is false then too.
func (g *Granter) Renewal(now time.Time) (boot topo.BootID, echo int64, ok bool) {
	if g.boot == "" {
		return "", 0, false
	}
	end := g.stampAt.Add(g.timing.LapseWait())
	if !now.Before(end) {
		return "", 0, false
	}
	g.extend(end)
	return g.boot, g.stamp, true
}

// Replied takes a server's reply to a request that was sent at sent, received
// at now. Replies may come in any order. changed is true when the reply is by a
// later run of the server than the one heard before: what this run holds was
// not granted by this Granter. Until still counts the earlier run's lease, in
// case that run is only paused.
//
// The reply also tells how long a lease that an earlier lessor renewed still
// lasts; that is counted too.
func (g *Granter) Replied(reply serverapi.LeaseReply, sent, now time.Time) (changed bool) {
	if reply.Boot == "" {
		return false
	}
	g.extend(now.Add(g.remaining(reply)))
	if reply.Boot == g.boot {
		if reply.Stamp > g.stamp {
			g.stamp, g.stampAt = reply.Stamp, now
		}
		return false
	}
	if g.boot != "" && sent.Before(g.bootHeard) {
		// The request left before the known run was heard of, so this may be a
		// late reply of an earlier run. The next reply tells.
		return false
	}
	changed = g.boot != ""
	g.boot, g.bootHeard = reply.Boot, now
	g.stamp, g.stampAt = reply.Stamp, now
	return changed
}

// remaining returns how long the lease that a reply reports may last on the
// granter's clock.
func (g *Granter) remaining(reply serverapi.LeaseReply) time.Duration {
	if reply.RemainingMs <= 0 {
		return 0
	}
	left := time.Duration(reply.RemainingMs) * time.Millisecond
	return g.timing.stretch(left) + g.timing.Margin
}

func (g *Granter) extend(end time.Time) {
	if end.After(g.until) {
		g.until = end
	}
}

// Until returns the latest moment at which a counted lease may still be valid;
// the zero time when none was counted.
func (g *Granter) Until() time.Time { return g.until }

// Lapsed reports whether every lease that was counted has ended by now.
func (g *Granter) Lapsed(now time.Time) bool { return !now.Before(g.until) }
