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

// Request counts a request's first send.
func (b *Budget) Request(now time.Time) { b.at(now).requests++ }

// Spend takes one extra send out of the budget if it has one left. nodes is the
// number of nodes that share it.
func (b *Budget) Spend(nodes int, now time.Time) bool {
	current := b.at(now)
	if b.Left(nodes, now) < 1 {
		return false
	}
	current.extra++
	return true
}

// Left returns the extra sends that are left.
func (b *Budget) Left(nodes int, now time.Time) float64 {
	oldest := b.number(now) - buckets + 1
	requests, extra := 0.0, 0.0
	for _, part := range b.ring {
		if part.number >= oldest {
			requests += part.requests
			extra += part.extra
		}
	}
	allowed := b.terms.Ratio*requests + b.terms.Slack/float64(max(nodes, 1))
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
