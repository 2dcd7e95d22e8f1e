// Package budget bounds the sends of requests beyond the first one, to prevent retry
// storms: when a service fails, its load must not be multiplied. In any window of time all
// nodes together may spend a share of the requests to a service and a fixed slack. Each
// node spends its own part, based on its own observations, so that no coordination is
// needed.
package budget

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock/window"
)

// Terms are the limits for all nodes together.
type Terms struct {
	Ratio  float64       // additional sends per request
	Slack  float64       // further additional sends per window
	Window time.Duration // the limits apply to any span of this length
}

// reservedShare is the part of the budget that is not spent, because the boundaries of
// windows and the known number of nodes differ slightly between nodes.
const reservedShare = 0.2

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 20
	// countedBuckets is the number of buckets that count: the current bucket has only begun, so
	// bucketCount buckets cover less than a window.
	countedBuckets = bucketCount + 1
)

// Budget is one node's budget for one service. It is not safe for concurrent use. Times that it
// is given are values of time.Now.
type Budget struct {
	terms     Terms
	startedAt time.Time // of the node
	counts    *window.Sliding[counts]
}

type counts struct {
	requests float64
	resends  float64
	nodes    int // maximum number of nodes that shared the budget
}

// New returns an unspent budget of a node that started at a time; zero: long ago.
func New(terms Terms, startedAt time.Time) *Budget {
	return &Budget{terms: terms, startedAt: startedAt, counts: newCounts(terms)}
}

func newCounts(terms Terms) *window.Sliding[counts] {
	return window.New[counts](countedBuckets, terms.Window/bucketCount)
}

// SetTerms replaces the terms. Counts are kept if the window does not change.
func (b *Budget) SetTerms(terms Terms) {
	if terms.Window != b.terms.Window {
		b.counts = newCounts(terms)
	}
	b.terms = terms
}

// Request counts the first send of a request. nodes is as for Spend.
func (b *Budget) Request(nodes int, now time.Time) {
	current := b.counts.At(now)
	current.requests++
	current.nodes = max(current.nodes, nodes)
}

// Spend takes one additional send out of the budget and reports whether there was one left.
// nodes is the number of nodes that currently share the budget; 0 if unknown.
func (b *Budget) Spend(nodes int, now time.Time) bool {
	current := b.counts.At(now)
	current.nodes = max(current.nodes, nodes)
	if b.Left(now) < 1 {
		return false
	}
	current.resends++
	return true
}

// Postpone moves a send that was taken at a time to now, because the request waited and is
// sent only now: the terms apply to the sends as they arrive.
func (b *Budget) Postpone(takenAt, now time.Time) {
	if now.Sub(takenAt) < b.terms.Window {
		b.counts.At(takenAt).resends--
	}
	b.counts.At(now).resends++
}

// Left returns the number of additional sends that are left. The slack is divided by the
// maximum number of nodes in the window, because nodes that have left have spent their part
// of it. There is no slack while the number of nodes is unknown, and none in the first window
// after the node's start, because its previous incarnation may have spent it.
func (b *Budget) Left(now time.Time) float64 {
	requests, resends, nodes := 0.0, 0.0, 0
	for part := range b.counts.Latest(countedBuckets, now) {
		requests += part.requests
		resends += part.resends
		nodes = max(nodes, part.nodes)
	}
	allowed := b.terms.Ratio * requests
	if nodes > 0 && now.Sub(b.startedAt) > b.terms.Window {
		allowed += b.terms.Slack / float64(nodes)
	}
	return allowed*(1-reservedShare) - resends
}
