// Package quota decides which share of the requests for a server's keys the nodes of a
// site may send to it. It has no I/O and no clock.
//
// It answers keys that are wanted for more than their owner can run, on sites of many
// nodes: each of 64 or 295 nodes sees the owner once in seconds, so that what it knows of
// it is old, and one request of each at a time is already more than the owner and its
// queue take. The lessor hears of every request and of every answer within a second. It
// tells all nodes the same share, and each sends that share of what it is asked for and
// refuses the rest at once.
package quota

import (
	"maps"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// presentTarget is how many requests for each slot a server had better have. Requests
	// come at random: with 1.5 for each slot a twentieth of what it can run was left
	// in the replay, and with 2.5 a tenth more was answered late.
	presentTarget = 1.75
	// mostCorrection bounds the factor by which shares differ from what the server was
	// said to run, in either direction, and correctionStep the change of it in a round.
	// A server of which less than idleUse of the slots have been in use for idleRounds is
	// filled quicker, by idleStep: requests are refused for nothing. It may refuse many
	// itself. Sooner, the time in which a queue is worked off would count.
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
	// mostHeard is the number of answers a second that a node has of a server, above
	// which its own limit, by what the server tells, does better than a share: in the
	// replay 8 nodes, with two, answer 0.9 of what the server can run in time by their
	// own limits and 0.8 by shares, and 17 nodes 0.6 to 0.8 and 0.75 to 0.85.
	mostHeard = 1.0
	// forgetBelow is the part of what a server is said to run below which its keys are
	// wanted as usual, and what was learnt before is forgotten.
	forgetBelow = 0.8
	// leastAnswers is how many answers tell what a server has.
	leastAnswers = 3
	// worthTelling is the relative change of a share that nodes are told.
	worthTelling = 0.1
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

// Quota keeps what was learnt of each server from one round to the next.
type Quota struct {
	learnt map[site.ServerID]learnt
	told   Shares
}

// learnt is what the queue of a server told under its share.
type learnt struct {
	correction float64 // factor of what it was said to run
	idle       int     // rounds in a row in which it was idle
}

// New returns a quota that limits nothing.
func New() *Quota {
	return &Quota{learnt: map[site.ServerID]learnt{}, told: Shares{}}
}

// Update takes a round of reports on a site of so many nodes. It returns the shares that
// hold from now on, and whether they differ from those before.
func (q *Quota) Update(servers []Server, nodes int) (shares Shares, changed bool) {
	next := Shares{}
	known := map[site.ServerID]learnt{}
	for _, s := range servers {
		if s.Runs > mostHeard*float64(nodes) {
			continue
		}
		learnt := q.learn(s)
		if s.Asked < forgetBelow*s.Runs {
			continue
		}
		known[s.ID] = learnt
		if runs := learnt.correction * s.Runs; s.Asked > runs {
			next[s.ID] = max(runs-s.excess()/drainTime.Seconds(), leastUse*runs) / s.Asked
		}
	}
	q.learnt = known
	if !q.differs(next) {
		return q.told, false
	}
	q.told = next
	return maps.Clone(next), true
}

// learn returns what is known of a server after another round.
func (q *Quota) learn(s Server) learnt {
	l, known := q.learnt[s.ID]
	if !known {
		l.correction = 1
	}
	if !known || s.Answers < leastAnswers {
		return l
	}
	l.idle++
	if s.Present >= idleUse*float64(s.Slots) {
		l.idle = 0
	}
	most := correctionStep
	if l.idle >= idleRounds {
		most = idleStep
	}
	step := math.Sqrt(s.wanted() / max(s.Present, 1))
	l.correction *= min(max(step, 1/correctionStep), most)
	l.correction = min(max(l.correction, 1/mostCorrection), mostCorrection)
	return l
}

// wanted returns how many requests a server had better have.
func (s Server) wanted() float64 { return presentTarget * float64(max(s.Slots, 1)) }

// excess returns how many more than that it has.
func (s Server) excess() float64 {
	if s.Answers == 0 {
		return 0
	}
	return max(0, s.Present-s.wanted())
}

// differs reports whether shares are worth telling.
func (q *Quota) differs(next Shares) bool {
	if len(next) != len(q.told) {
		return true
	}
	for id, share := range next {
		before, known := q.told[id]
		if !known || math.Abs(share-before) > worthTelling*before {
			return true
		}
	}
	return false
}
