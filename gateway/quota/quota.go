// Package quota decides which share of the requests for a server's keys the nodes of a site
// may send to it. It has no I/O and no clock.
//
// Shares are for keys whose demand exceeds the capacity of their owner, on sites of many
// nodes. Each node observes the owner only once in several seconds, so its view is
// outdated, and a single request of each node at a time already exceeds the slots and the
// queue of the owner. The lessor observes every request and every answer within a second.
// It announces the same share to all nodes. Each node sends that share of its requests and
// refuses the rest immediately.
package quota

import (
	"maps"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// loadPerSlotTarget is the target number of requests at a server for each slot.
	// Requests arrive at random: below the target slots idle at times, above it requests
	// wait.
	loadPerSlotTarget = 1.75
	// maxCorrection bounds, in either direction, the factor by which shares deviate from
	// the reported capacity of a server. maxCorrectionStep bounds the change of the factor
	// in a round. After minIdleRounds with less than idleUtilization of the slots in use,
	// the bound is idleCorrectionStep, because requests are refused unnecessarily. With
	// fewer rounds, the time in which a queue is worked off would be treated as idle.
	maxCorrection      = 4.0
	maxCorrectionStep  = 1.04
	idleUtilization    = 0.6
	minIdleRounds      = 4
	idleCorrectionStep = 1.25
	// UpdateInterval is the time between two updates.
	UpdateInterval = 500 * time.Millisecond
	// queueDrainTime is the time in which a queue beyond the target should be worked off.
	// Reports of the queue and the resulting shares are in flight for more than a second,
	// so a shorter time would make the queue oscillate. Without draining, a queue that came
	// with a surge would last as long as the surge.
	queueDrainTime = 1500 * time.Millisecond
	// minDrainUtilization is the part of its capacity that a server gets while its queue is
	// worked off.
	minDrainUtilization = 0.2
	// maxResponsesPerNode is the number of responses per second that a node gets from a
	// server above which the node's own limit follows the server more closely than a share.
	maxResponsesPerNode = 1.0
	// minDemandRatio is the ratio of demand to reported capacity below which the demand is
	// normal and the estimate is dropped.
	minDemandRatio = 0.8
	// minAnswers is the minimum number of answers for an update of the estimate.
	minAnswers = 3
	// minShareChange is the minimum relative change of a share that is announced.
	minShareChange = 0.1
)

// Server describes a server by the reports of all nodes.
type Server struct {
	ID       site.ServerID
	Slots    int
	Demand   float64 // requests per second for its keys
	Capacity float64 // requests per second that the server can run
	// MeanLoad is the mean number of requests, running or waiting, at the server at its
	// latest answers. Answers is the number of these answers.
	MeanLoad float64
	Answers  int
}

// Shares holds the share, from 0 to 1, of the requests for each server's keys that nodes
// may send. Servers without an entry get all requests.
type Shares map[site.ServerID]float64

// Quota keeps an estimate of each server between rounds.
type Quota struct {
	estimates map[site.ServerID]estimate
	announced Shares
}

// estimate is derived from the queue of a server under its share.
type estimate struct {
	correction float64 // factor applied to the reported capacity
	idleRounds int     // consecutive rounds in which the server was idle
}

// New returns a quota without estimates and shares.
func New() *Quota {
	return &Quota{estimates: map[site.ServerID]estimate{}, announced: Shares{}}
}

// Update processes a round of reports on a site with the given number of nodes. It returns
// the shares that apply from now on, and whether they differ from the previous ones.
func (q *Quota) Update(servers []Server, nodes int) (shares Shares, changed bool) {
	next := Shares{}
	known := map[site.ServerID]estimate{}
	for _, s := range servers {
		if s.Capacity > maxResponsesPerNode*float64(nodes) {
			continue
		}
		e := q.updateEstimate(s)
		if s.Demand < minDemandRatio*s.Capacity {
			continue
		}
		known[s.ID] = e
		if capacity := e.correction * s.Capacity; s.Demand > capacity {
			next[s.ID] = max(capacity-s.excessLoad()/queueDrainTime.Seconds(), minDrainUtilization*capacity) / s.Demand
		}
	}
	q.estimates = known
	if !q.hasChanged(next) {
		return q.announced, false
	}
	q.announced = next
	return maps.Clone(next), true
}

// updateEstimate returns the estimate of a server after another round.
func (q *Quota) updateEstimate(s Server) estimate {
	e, known := q.estimates[s.ID]
	if !known {
		e.correction = 1
	}
	if !known || s.Answers < minAnswers {
		return e
	}
	e.idleRounds++
	if s.MeanLoad >= idleUtilization*float64(s.Slots) {
		e.idleRounds = 0
	}
	most := maxCorrectionStep
	if e.idleRounds >= minIdleRounds {
		most = idleCorrectionStep
	}
	step := math.Sqrt(s.targetLoad() / max(s.MeanLoad, 1))
	e.correction *= min(max(step, 1/maxCorrectionStep), most)
	e.correction = min(max(e.correction, 1/maxCorrection), maxCorrection)
	return e
}

// targetLoad returns the target number of requests at a server.
func (s Server) targetLoad() float64 { return loadPerSlotTarget * float64(max(s.Slots, 1)) }

// excessLoad returns the number of requests at a server beyond its target.
func (s Server) excessLoad() float64 {
	if s.Answers == 0 {
		return 0
	}
	return max(0, s.MeanLoad-s.targetLoad())
}

// hasChanged reports whether shares differ enough to be announced.
func (q *Quota) hasChanged(next Shares) bool {
	if len(next) != len(q.announced) {
		return true
	}
	for id, share := range next {
		before, known := q.announced[id]
		if !known || math.Abs(share-before) > minShareChange*before {
			return true
		}
	}
	return false
}
