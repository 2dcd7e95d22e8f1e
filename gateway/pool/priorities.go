package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// priorityHalfLife is the half-life of the counts of requests by priority, as in package guidance.
	priorityHalfLife = 5 * time.Second
	// minPriorityShare is the share of the requests from which on a priority counts as in use: a rare request must not
	// make all others less urgent.
	minPriorityShare = 0.05
)

// priorityCounts holds decayed counts of requests by priority, the most urgent first.
type priorityCounts struct {
	classes []priorityCount // ordered by priority
	total   float64
	at      time.Time
}

type priorityCount struct {
	priority int
	requests float64
	// credit is the unused part of the share of a busy server; hasCredit reports that it has been set since the share
	// started.
	credit    float64
	hasCredit bool
}

// add counts a request.
func (c *priorityCounts) add(priority int, now time.Time) {
	factor := 1.0
	if !c.at.IsZero() {
		factor = decay(max(now.Sub(c.at), 0), priorityHalfLife)
	}
	c.at = now
	c.total = c.total*factor + 1
	for i := range c.classes {
		c.classes[i].requests *= factor
	}
	c.class(priority).requests++
}

// class returns the count of a priority, which is added if there is none.
func (c *priorityCounts) class(priority int) *priorityCount {
	i, found := slices.BinarySearchFunc(c.classes, priority, func(class priorityCount, p int) int { return class.priority - p })
	if !found {
		c.classes = slices.Insert(c.classes, i, priorityCount{priority: priority})
	}
	return &c.classes[i]
}

// mostUrgent returns the lowest priority number in use, or the highest integer if there is none.
func (c *priorityCounts) mostUrgent() int {
	for _, class := range c.classes {
		if class.requests >= minPriorityShare*c.total {
			return class.priority
		}
	}
	return math.MaxInt
}

// dropCredits has every priority start with a new credit.
func (c *priorityCounts) dropCredits() {
	for i := range c.classes {
		c.classes[i].hasCredit = false
	}
}

// shareOf divides a share of all requests among the priorities, the most urgent first, and returns what one of them gets.
// Each less urgent one keeps minUrgencyShare of what it would get by its requests alone.
func (c *priorityCounts) shareOf(priority int, share float64) float64 {
	left := share * c.total
	behind := c.total
	for _, class := range c.classes {
		behind -= class.requests
		kept := minUrgencyShare * share * max(behind, 0) // for those behind it
		granted := min(class.requests, max(left-kept, 0))
		if class.priority == priority {
			return min(granted/max(class.requests, math.SmallestNonzeroFloat64), 1)
		}
		left -= granted
	}
	return share
}

// minUrgencyShare is the part of their usual share that less urgent requests keep: no kind of request may be served less
// than a quarter as often as all.
const minUrgencyShare = 0.25
