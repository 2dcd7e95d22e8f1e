package lease

import (
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Granter tracks, for one backend server, the latest time at which a lease
// renewed by the server's lessor may still be valid. It does not decide whether
// the lessor has the right to renew. A Granter belongs to one lessor's term and
// is not safe for concurrent use.
type Granter struct {
	timing Timing
	// stamp is the newest stamp known, boot the incarnation of the server that
	// issued it, and stampAt the time at which the reply with it was received.
	boot       topo.BootID
	bootSeenAt time.Time // when the first reply of boot was received
	stamp      int64
	stampAt    time.Time
	// until is the latest expiry of any lease that may have been renewed.
	until time.Time
}

// NewGranter returns a granter that has received no reply and tracks no lease.
// A lessor that takes over must itself wait until leases renewed by previous
// lessors have expired, or settle them by acknowledgements.
func NewGranter(timing Timing) *Granter { return &Granter{timing: timing} }

// Boot returns the incarnation of the server that replied last, or "" if there
// was no reply.
func (g *Granter) Boot() topo.BootID { return g.boot }

// Renewal returns the boot and stamp that a renewal sent now must echo, and
// extends Until to the end of the lease that the renewal may create. It must be
// called before the renewal is sent. ok is false when no stamp is known: the
// request must then ask for a stamp only, with an empty boot.
//
// ok is also false when the stamp is so old that its lease would already have
// expired.
func (g *Granter) Renewal(now time.Time) (boot topo.BootID, echo int64, ok bool) {
	if g.boot == "" {
		return "", 0, false
	}
	end := g.stampAt.Add(g.timing.ExpiryWait())
	if !now.Before(end) {
		return "", 0, false
	}
	g.extend(end)
	return g.boot, g.stamp, true
}

// Replied processes a server's reply, received at now, to a request sent at
// sent. Replies may arrive in any order. changed is true when the reply comes
// from a later incarnation of the server than the one known before: the grants
// of the new incarnation were not issued by this Granter. Until still covers the
// lease of the earlier incarnation, which may only be paused.
//
// The reply also reports the remaining time of a lease renewed by an earlier
// lessor; Until covers that lease too.
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
	if g.boot != "" && sent.Before(g.bootSeenAt) {
		// The request was sent before the known incarnation was discovered, so
		// this may be a late reply of an earlier one. The next reply decides.
		return false
	}
	changed = g.boot != ""
	g.boot, g.bootSeenAt = reply.Boot, now
	g.stamp, g.stampAt = reply.Stamp, now
	return changed
}

// remaining returns the longest time, on the granter's clock, for which the
// lease reported in a reply may last.
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

// Until returns the latest time at which a tracked lease may still be valid, or
// the zero time if there is none.
func (g *Granter) Until() time.Time { return g.until }

// Expired reports whether every tracked lease has ended by now.
func (g *Granter) Expired(now time.Time) bool { return !now.Before(g.until) }
