package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

// SetShares sets the shares of requests for servers' keys that this node may send, and their
// expiry if no newer ones arrive. A server with a share gets that fraction of the node's
// demand for it, whatever its limit: the share is based on what all nodes together observed a
// second ago, the limit on what this node observed long before.
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
		m.credit = p.initialCredit()
	}
	m.share, m.shareExpiry = share, time.Time{}
	if isShared {
		m.shareExpiry = p.sharesUntil
	}
}

// hasShare reports whether the server has a share that has not expired.
func (m *member) hasShare(now time.Time) bool { return now.Before(m.shareExpiry) }

// refuseOverShare refuses a request that exceeds its server's share. Requests that were
// queued before the share arrived are charged to it like new ones.
func (p *Pool) refuseOverShare(w *Waiter, now time.Time) *Refusal {
	m := p.members[w.OnlyServer]
	if m == nil || w.ChargedToShare || !m.hasShare(now) {
		return nil
	}
	if !p.spendCredit(&m.credit, m.share, w, now) {
		refusal := p.refuseForCapacity(w, OverShare, p.shareInterval(m, now), now)
		refusal.Share = m.share
		return refusal
	}
	w.ChargedToShare = true
	return nil
}

// initialCredit returns the credit at the start of a share: random, so that nodes do not all start with the same request.
func (p *Pool) initialCredit() float64 { return p.random.Float64() + p.initialReserve() }

// spendCredit adds a share to a credit and takes a request from it, and reports whether the request may be sent. Requests
// that can still be answered in time and callers that waited for the stated delay take precedence.
func (p *Pool) spendCredit(credit *float64, share float64, w *Waiter, now time.Time) bool {
	*credit = math.Min(*credit+share, p.creditBound(now))
	if *credit < p.neededCredit(w.order, p.inTime(w, now), now) {
		return false
	}
	*credit--
	return true
}

// maxCredit bounds the unused part of a share that a node keeps while demand is low. On a mixed site the bound is higher by
// the reserves for returning callers.
const maxCredit = 2.0

// shareInterval returns the wait of a request beyond the share: the interval at
// which the server could take this node's requests if there were no others.
func (p *Pool) shareInterval(m *member, now time.Time) time.Duration {
	interval := p.serviceTime(m, now) / float64(max(m.Slots, 1)) / max(m.share, minShare)
	return time.Duration(interval * float64(time.Second))
}

// minShare is the lower bound of the share in the estimate of the retry delay.
const minShare = 0.01
