package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// lasting is what a node keeps of a server by its name: it binds the node whichever incarnation runs, and while
// the entry of the server is missing. All else is observed anew of each incarnation.
type lasting struct {
	budget      ratelimit.Budget
	countsNamed bool // this node is one of those that count them while it names a limit
	named       namedLimit
	// leftToOthersSince is when this node first left a request to the nodes that count, since the latest answer
	// that names the limit; zero: it has left none.
	leftToOthersSince time.Time
	// sendsPart reports that this node does not leave them to those nodes any more, but sends its part.
	sendsPart    bool
	partWantedAt time.Time // when there was last a request for it
	forwardedAt  time.Time // when a request that this node counts only for another one last arrived
	// restUntil is the end of the rest that the server has asked for, and isReturning reports that it has
	// answered no request since.
	restUntil   time.Time
	isReturning bool
}

// keepLasting keeps what lasts of a server that is removed.
func (p *Pool) keepLasting(m *member, now time.Time) {
	if h := p.histories[m.ID.Name()]; h != nil && h.id == m.ID {
		h.lasting, h.removedAt = m.lasting, now
	}
}

// restoreLasting returns what is kept of a server that is added.
func (p *Pool) restoreLasting(name site.ServerName, now time.Time) lasting {
	h := p.histories[name]
	if h == nil {
		return lasting{}
	}
	kept := h.lasting
	if !h.removedAt.Equal(now) { // others may have counted while this node knew no entry of the server
		kept.countsNamed = false
	}
	return kept
}

// lastingByName returns what is kept of a server, also if its entry is missing; nil: nothing.
func (p *Pool) lastingByName(name site.ServerName) *lasting {
	h := p.histories[name]
	if h == nil {
		return nil
	}
	if m := p.members[h.id]; m != nil {
		return &m.lasting
	}
	return &h.lasting
}
