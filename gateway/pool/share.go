package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

// SetShares takes the shares of requests for servers' keys that this node may send, and
// until when they hold if nothing newer is told. A
// server that has one gets that part of what the node is asked for, whatever its limit:
// the share rests on what all nodes together saw a second ago, the limit on what this
// one saw long before.
func (p *Pool) SetShares(shares quota.Shares, until time.Time) {
	p.shares = shares
	p.sharesUntil = until
	for _, m := range p.order {
		p.setShare(m)
	}
}

func (p *Pool) setShare(m *member) {
	share, isShared := p.shares[m.ID]
	if isShared && m.shareExpiry.IsZero() {
		m.credit = p.random.Float64() // nodes do not begin with the same request
	}
	m.share, m.shareExpiry = share, time.Time{}
	if isShared {
		m.shareExpiry = p.sharesUntil
	}
}

// hasShare reports whether a share of the requests for a server's keys may be sent.
func (m *member) hasShare(now time.Time) bool { return now.Before(m.shareExpiry) }

// refuseOverShare refuses a request that is not among those of its server's share. What waited
// before the share was told is counted like what comes.
func (p *Pool) refuseOverShare(w *Waiter, now time.Time) *Refusal {
	m := p.members[w.Only]
	if m == nil || w.Passed || !m.hasShare(now) {
		return nil
	}
	if !m.spendCredit(p.inTime(w, now)) {
		return &Refusal{Reason: OverShare, RetryAfter: p.shareRetryAfter(m, now), Share: m.share}
	}
	w.Passed = true
	return nil
}

// spendCredit counts a request for the keys of a server with a share, and reports whether
// it is one of those that may be sent. Those that can still be answered in time go first:
// a request that comes back late is sent only from what these leave.
func (m *member) spendCredit(inTime bool) bool {
	m.credit = math.Min(m.credit+m.share, maxCredit)
	if m.credit < 1 || !inTime && m.credit < maxCredit {
		return false
	}
	m.credit--
	return true
}

// maxCredit bounds what a node keeps of its share while few ask.
const maxCredit = 2.0

// shareRetryAfter returns when a caller comes back whose request a share did not let pass. At
// that pace the server could take it, if nobody else came.
func (p *Pool) shareRetryAfter(m *member, now time.Time) time.Duration {
	interval := p.serviceTime(m, now) / float64(max(m.Slots, 1)) / max(m.share, minShare)
	return p.retryAfter(time.Duration(interval * float64(time.Second)))
}

// minShare bounds the share for the estimate of a caller's return.
const minShare = 0.01
