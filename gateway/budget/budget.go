// Package budget bounds the sends of requests beyond the first one, to prevent retry
// storms: when a service fails, its load must not be multiplied. In any window of time all
// nodes together may spend a share of the requests to a service and a fixed slack. Each
// node spends its own part, based on its own observations, so that no coordination is
// needed.
//
// # The sum over all nodes
//
// Callers may move between nodes at any time, so the parts of all nodes must add up wherever a request arrives. Each
// request earns credit at one node, once. Credit that is not spent expires after a fifth of a window, and a send that
// has waited for longer than a bucket is paid for again. The sends in a window are therefore paid for by the requests
// of that window and of the quarter of a window before it, at most
//
//	(1 - reservedShare) x ratio x (requests in the window + requests in the quarter before it)
//
// over all nodes. That is within the ratio while the quarter before has no more than a quarter of the requests of the
// window, as with a steady rate: (1 - 1/5) x (1 + 1/4) = 1. The slack is divided among the nodes, and each part is
// spent once in a window.
//
// Requests that come in bursts may break that condition. Each node therefore also keeps to the terms as they apply to
// its own requests (see ownLeft), which bounds the sum while bursts reach all nodes alike.
package budget

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/clock/window"
)

// Terms are the limits for all nodes together.
type Terms struct {
	Ratio  float64       // additional sends per request
	Slack  float64       // further additional sends per window
	Window time.Duration // the limits apply to any span of this length
}

// reservedShare is the part of the budget that is not spent, because credit outlives the window that it was
// earned in, and the known number of nodes differs slightly between nodes.
const reservedShare = 0.2

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 20
	// countedBuckets is the number of buckets that count: the current bucket has only begun, so
	// bucketCount buckets cover less than a window.
	countedBuckets = bucketCount + 1
	// creditBuckets is the number of buckets, the current one included, whose credit has not expired: a fifth of
	// the window.
	creditBuckets = bucketCount / 5
	// keptBuckets is the number of buckets that are kept: those of the window before count, too.
	keptBuckets = countedBuckets + bucketCount
)

// Budget is one node's budget for one service. It is not safe for concurrent use. Times that it
// is given are values of time.Now.
type Budget struct {
	terms     Terms
	slackFrom time.Time // from when on there is slack
	counts    *window.Sliding[counts]
}

// counts are those of one bucket.
type counts struct {
	requests float64
	resends  float64
	credit   float64 // earned and not spent
	slack    float64 // spent of the slack, or sent without credit
	nodes    int     // maximum number of nodes that shared the budget
}

// New returns an unspent budget of a node that started at a time; zero: long ago.
func New(terms Terms, startedAt time.Time) *Budget {
	b := &Budget{terms: terms, counts: newCounts(terms)}
	if !startedAt.IsZero() {
		b.slackFrom = startedAt.Add(terms.Window)
	}
	return b
}

func newCounts(terms Terms) *window.Sliding[counts] {
	return window.New[counts](keptBuckets, terms.Window/bucketCount)
}

// SetTerms replaces the terms. Counts are kept if the window does not change. Otherwise there is no slack for the
// longer one of the windows, since what was spent of it is not known any more.
func (b *Budget) SetTerms(terms Terms, now time.Time) {
	if terms.Window != b.terms.Window {
		b.counts = newCounts(terms)
		b.slackFrom = latest(b.slackFrom, now.Add(max(terms.Window, b.terms.Window)))
	}
	b.terms = terms
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Request counts the first send of a request. nodes is as for Spend.
func (b *Budget) Request(nodes int, now time.Time) {
	current := b.counts.At(now)
	current.requests++
	current.nodes = max(current.nodes, nodes)
	current.credit += b.terms.Ratio * (1 - reservedShare)
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
	current.slack += b.spendCredit(1, now)
	return true
}

// spendCredit takes an amount out of the credit, the oldest first, and returns what is missing.
func (b *Budget) spendCredit(amount float64, now time.Time) (missing float64) {
	for age := creditBuckets - 1; age >= 0; age-- {
		bucket := b.counts.At(b.bucketTime(age, now))
		spent := min(bucket.credit, amount)
		bucket.credit -= spent
		amount -= spent
	}
	return amount
}

// bucketTime returns a time in the bucket that was the current one a number of buckets ago.
func (b *Budget) bucketTime(age int, now time.Time) time.Time {
	return now.Add(-time.Duration(age) * b.terms.Window / bucketCount)
}

// Postpone counts a send that was taken at a time, because the request waited and is sent only now: the terms
// apply to the sends as they arrive. What has paid for it may have expired, so it is paid for again.
func (b *Budget) Postpone(takenAt, now time.Time) {
	if now.Sub(takenAt) < b.terms.Window {
		b.counts.At(takenAt).resends--
	}
	b.counts.At(now).resends++
	if now.Sub(takenAt) < b.terms.Window/bucketCount {
		return
	}
	missing := b.spendCredit(1, now)
	b.counts.At(now).slack += missing
}

// Left returns the number of additional sends that are left.
func (b *Budget) Left(now time.Time) float64 {
	part, spent := b.slack(now)
	left := part - spent
	for bucket := range b.counts.Latest(creditBuckets, now) {
		left += bucket.credit
	}
	return min(left, b.ownLeft(part, now))
}

// slack returns this node's part of the slack and what was spent of it, which is more if some was sent without credit.
// The slack is divided by the maximum number of nodes in the window, because nodes that have left have spent
// their part of it. There is no slack while the number of nodes is unknown, and none in the first window
// after the node's start, because its previous incarnation may have spent it.
func (b *Budget) slack(now time.Time) (part, spent float64) {
	nodes := 0
	for bucket := range b.counts.Latest(countedBuckets, now) {
		spent += bucket.slack
		nodes = max(nodes, bucket.nodes)
	}
	if nodes > 0 && now.After(b.slackFrom) {
		part = b.terms.Slack * (1 - reservedShare) / float64(nodes)
	}
	return part, spent
}

// ownLeft returns what is left by the terms as they apply to this node's own requests and its part of the slack: in
// each window that has begun, resends count against the requests of that window, of the one before it or of the one
// half a window before it, whichever has most. A window begins anywhere in a bucket, so only buckets that lie in it
// whole count for requests, and all that it touches for resends.
func (b *Budget) ownLeft(slack float64, now time.Time) float64 {
	var requests [keptBuckets + 1]float64 // in the latest buckets, by their number
	for age := range keptBuckets {
		requests[age+1] = requests[age] + b.counts.Past(b.bucketTime(age, now)).requests
	}
	left, resends := math.Inf(1), 0.0
	for begin := range countedBuckets { // the window begins in the bucket of that age
		resends += b.counts.Past(b.bucketTime(begin, now)).resends
		own := requests[begin]
		before := requests[begin+bucketCount] - requests[begin+1]
		halfBefore := requests[begin+bucketCount/2] - requests[max(begin+1-bucketCount/2, 0)]
		left = min(left, b.terms.Ratio*max(own, before, halfBefore)+slack-resends)
	}
	return left
}
