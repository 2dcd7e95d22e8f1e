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
