// Package quota decides which share of the requests for a server's keys the nodes of a
// site may send to it. It has no I/O and no clock.
//
// It answers keys that are wanted for more than their owner can run, on sites of many
// nodes: each node sees the owner once in seconds, so that what it knows of it is old, and
// one request of each at a time is already more than the owner and its queue take. The
// lessor observes every request and every answer within a second. It announces the same
// share to all nodes, and each sends that share of what it is asked for and refuses the
// rest at once.
package quota

import (
	"maps"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// presentTarget is how many requests for each slot a server should have. Requests come
	// at random: with fewer it idles at times, with more they wait.
	presentTarget = 1.75
	// mostCorrection bounds the factor by which shares differ from what the server was
	// said to run, in either direction, and correctionStep the change of it in a round.
	// A server of which less than idleUse of the slots have been in use for idleRounds is
	// filled quicker, by idleStep: requests are refused for nothing. In fewer rounds the
	// time in which a queue is worked off would count.
	mostCorrection = 4.0
	correctionStep = 1.04
	idleUse        = 0.6
	idleRounds     = 4
	idleStep       = 1.25
	// Round is the time between two updates.
	Round = 500 * time.Millisecond
	// drainTime is the time in which a queue beyond the target is to be worked off. Reports
	// of it and the shares are on their way for more than a second: in less time the
	// queue would swing. One that came with the surge would otherwise last as long as that.
	drainTime = 1500 * time.Millisecond
	// leastUse is the part of what a server can run that it gets while its queue is
	// worked off.
	leastUse = 0.2
	// mostObserved is the number of answers a second that a node has of a server, above
	// which the node's own limit follows the server more closely than a share.
	mostObserved = 1.0
	// forgetBelow is the part of what a server is said to run below which its keys are
	// wanted as usual, and its estimate is dropped.
	forgetBelow = 0.8
	// leastAnswers is how many answers tell what a server has.
	leastAnswers = 3
	// leastChange is the relative change of a share that is announced.
	leastChange = 0.1
)

// Server is what is known of a server by the reports of all nodes.
type Server struct {
	ID    site.ServerID
	Slots int
	Asked float64 // requests a second for its keys
	Runs  float64 // requests a second that it can run
	// Present is the mean number of requests that it had, running or waiting, at its
	// latest answers, and Answers their number.
	Present float64
	Answers int
}

// Shares are the shares of the requests for servers' keys that may be sent, from 0 to 1.
// Servers that are not in it get all.
type Shares map[site.ServerID]float64

// Quota keeps an estimate of each server from one round to the next.
type Quota struct {
	estimates map[site.ServerID]estimate
	announced Shares
}

// estimate is what the queue of a server showed under its share.
type estimate struct {
	correction float64 // factor of what it was said to run
	idle       int     // rounds in a row in which it was idle
}

// New returns a quota that limits nothing.
func New() *Quota {
	return &Quota{estimates: map[site.ServerID]estimate{}, announced: Shares{}}
}

// Update takes a round of reports on a site of so many nodes. It returns the shares that
// hold from now on, and whether they differ from those before.
func (q *Quota) Update(servers []Server, nodes int) (shares Shares, changed bool) {
	next := Shares{}
	known := map[site.ServerID]estimate{}
	for _, s := range servers {
		if s.Runs > mostObserved*float64(nodes) {
			continue
		}
		estimated := q.estimate(s)
		if s.Asked < forgetBelow*s.Runs {
			continue
		}
		known[s.ID] = estimated
		if runs := estimated.correction * s.Runs; s.Asked > runs {
			next[s.ID] = max(runs-s.excess()/drainTime.Seconds(), leastUse*runs) / s.Asked
		}
	}
	q.estimates = known
	if !q.differs(next) {
		return q.announced, false
	}
	q.announced = next
	return maps.Clone(next), true
}

// estimate returns the estimate of a server after another round.
func (q *Quota) estimate(s Server) estimate {
	e, known := q.estimates[s.ID]
	if !known {
		e.correction = 1
	}
	if !known || s.Answers < leastAnswers {
		return e
	}
	e.idle++
	if s.Present >= idleUse*float64(s.Slots) {
		e.idle = 0
	}
	most := correctionStep
	if e.idle >= idleRounds {
		most = idleStep
	}
	step := math.Sqrt(s.wanted() / max(s.Present, 1))
	e.correction *= min(max(step, 1/correctionStep), most)
	e.correction = min(max(e.correction, 1/mostCorrection), mostCorrection)
	return e
}

// wanted returns how many requests a server should have.
func (s Server) wanted() float64 { return presentTarget * float64(max(s.Slots, 1)) }

// excess returns how many more than that it has.
func (s Server) excess() float64 {
	if s.Answers == 0 {
		return 0
	}
	return max(0, s.Present-s.wanted())
}

// differs reports whether shares differ enough to be announced.
func (q *Quota) differs(next Shares) bool {
	if len(next) != len(q.announced) {
		return true
	}
	for id, share := range next {
		before, known := q.announced[id]
		if !known || math.Abs(share-before) > leastChange*before {
			return true
		}
	}
	return false
}
