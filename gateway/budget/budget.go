// Package budget bounds the sends beyond the first of each request. All nodes
// together may spend a share of the requests to a service and a fixed slack in
// any window of time; a node spends its own part, by what it has seen itself,
// so that no agreement is needed. It answers retry storms: when a service
// fails, its load must not be multiplied.
package budget

import "time"

// Terms are what all nodes together may spend.
type Terms struct {
	Ratio  float64       // extra sends for each request
	Slack  float64       // extra sends in a window beside that
	Window time.Duration // any span of this length counts
}

// reserve is the part of the budget that is not spent: nodes see the ends of a
// window, and the number of nodes, a little differently.
const reserve = 0.2

// buckets is into how many parts a window is cut.
const buckets = 20

// Budget is one node's budget for one service. It is not safe for concurrent use.
type Budget struct {
	terms Terms
	ring  [buckets]bucket
}

type bucket struct {
	number   int64 // of the part since the zero time
	requests float64
	extra    float64
	nodes    int // most that shared the budget
}

// New returns an unspent budget.
func New(terms Terms) *Budget { return &Budget{terms: terms} }

// SetTerms replaces the terms. What was counted stays if the window does.
func (b *Budget) SetTerms(terms Terms) {
	if terms.Window != b.terms.Window {
		b.ring = [buckets]bucket{}
	}
	b.terms = terms
}

// Request counts a request's first send. nodes is as for Spend.
func (b *Budget) Request(nodes int, now time.Time) {
	current := b.at(now)
	current.requests++
	current.nodes = max(current.nodes, nodes)
}

// Spend takes one extra send out of the budget if it has one left. nodes is the
// number of nodes that share it now; 0: not known.
func (b *Budget) Spend(nodes int, now time.Time) bool {
	current := b.at(now)
	current.nodes = max(current.nodes, nodes)
	if b.Left(now) < 1 {
		return false
	}
	current.extra++
	return true
}

// Left returns the extra sends that are left. The slack is shared by the most
// nodes of the window: those that are gone have spent their part of it. While
// their number is not known there is none.
func (b *Budget) Left(now time.Time) float64 {
	oldest := b.number(now) - buckets + 1
	requests, extra, nodes := 0.0, 0.0, 0
	for _, part := range b.ring {
		if part.number >= oldest {
			requests += part.requests
			extra += part.extra
			nodes = max(nodes, part.nodes)
		}
	}
	allowed := b.terms.Ratio * requests
	if nodes > 0 {
		allowed += b.terms.Slack / float64(nodes)
	}
	return allowed*(1-reserve) - extra
}

func (b *Budget) at(now time.Time) *bucket {
	number := b.number(now)
	part := &b.ring[number%buckets]
	if part.number != number {
		*part = bucket{number: number}
	}
	return part
}

func (b *Budget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.terms.Window/buckets)
}
