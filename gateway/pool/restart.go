package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A server that has started again is on trial: it gets few requests until it has
// answered some, since what it has is lost if it ends again. It answers crash
// loops. What is learnt of an earlier run counts for nothing else.
const (
	// restartWindow is the longest time between two starts that count as one series:
	// a server that has run for longer has shown that it can.
	restartWindow = 10 * time.Second
	// minProbation is how long the trial is after one restart, as in a rolling upgrade;
	// it doubles with each further one up to mostTrial.
	minProbation = time.Second
	maxProbation = 16 * time.Second
	// probationLimitFactor is the factor of the first limit for each restart of a series.
	probationLimitFactor = 0.5
	// probationIncrease is the factor of the limit with each answer without a queue while
	// the server is on trial, up to trialLimit.
	probationIncrease = 1.25
	maxProbationLimit = 1.0
)

// history is what is remembered of the runs of a server.
type history struct {
	id       site.ServerID // of the latest run
	startAt  time.Time     // when it was first seen
	seenAt   time.Time     // when it was registered last
	restarts int           // in the present series
}

// recordIncarnation takes that a run is registered, and returns how many restarts in a row led
// to it if it is new.
func (p *Pool) recordIncarnation(id site.ServerID, now time.Time) int {
	h := p.histories[id.Name()]
	switch {
	case h == nil:
		h = &history{id: id, startAt: now}
		p.histories[id.Name()] = h
	case h.id != id:
		if now.Sub(h.startAt) > restartWindow {
			h.restarts = 0
		}
		h.restarts++
		h.id, h.startAt = id, now
	}
	h.seenAt = now
	return h.restarts
}

// pruneHistories drops the histories of servers that left long ago.
func (p *Pool) pruneHistories(now time.Time) {
	for name, h := range p.histories {
		if now.Sub(h.seenAt) > restartWindow {
			delete(p.histories, name)
		}
	}
}

// startProbation lowers the first limit of a server after restarts in a row. The share
// of all nodes counts: each of eight with one request fills four slots.
func (p *Pool) startProbation(m *member, restarts int, now time.Time) {
	if restarts == 0 || restarts == 1 && p.mostOnProbation(now) {
		return
	}
	m.limit = max(minLimit, min(maxProbationLimit, p.fairLimit(m))*math.Pow(probationLimitFactor, float64(restarts)))
	m.probationUntil = now.Add(min(minProbation<<min(restarts-1, 10), maxProbation))
}

// mostOnProbation reports whether one more server on trial would make them more than
// half. After the restart of a whole service requests have nowhere else to go.
func (p *Pool) mostOnProbation(now time.Time) bool {
	count := 1
	for _, m := range p.members {
		if m.onProbation(now) {
			count++
		}
	}
	return 2*count > len(p.members)+1
}

// onProbation reports whether a server has started again lately.
func (m *member) onProbation(now time.Time) bool { return now.Before(m.probationUntil) }
