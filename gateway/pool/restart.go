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
	// restartMemory is the longest time between two starts that count as one series:
	// a server that has run for longer has shown that it can.
	restartMemory = 10 * time.Second
	// leastTrial is how long the trial is after one restart, as in a rolling upgrade;
	// it doubles with each further one up to mostTrial.
	leastTrial = time.Second
	mostTrial  = 16 * time.Second
	// trialShare is the factor of the first limit for each restart of a series.
	trialShare = 0.5
	// trialRaise is the factor of the limit with each answer without a queue while
	// the server is on trial, up to trialLimit.
	trialRaise = 1.25
	trialLimit = 1.0
)

// history is what is remembered of the runs of a server.
type history struct {
	id       site.ServerID // of the latest run
	startAt  time.Time     // when it was first seen
	seenAt   time.Time     // when it was registered last
	restarts int           // in the present series
}

// noteRun takes that a run is registered, and returns how many restarts in a row led
// to it if it is new.
func (p *Pool) noteRun(id site.ServerID, now time.Time) int {
	h := p.histories[id.Name()]
	switch {
	case h == nil:
		h = &history{id: id, startAt: now}
		p.histories[id.Name()] = h
	case h.id != id:
		if now.Sub(h.startAt) > restartMemory {
			h.restarts = 0
		}
		h.restarts++
		h.id, h.startAt = id, now
	}
	h.seenAt = now
	return h.restarts
}

// forgetRuns drops the histories of servers that left long ago.
func (p *Pool) forgetRuns(now time.Time) {
	for name, h := range p.histories {
		if now.Sub(h.seenAt) > restartMemory {
			delete(p.histories, name)
		}
	}
}

// putOnTrial lowers the first limit of a server after restarts in a row. The share
// of all nodes counts: each of eight with one request fills four slots.
func (p *Pool) putOnTrial(m *member, restarts int, now time.Time) {
	if restarts == 0 || restarts == 1 && p.mostOnTrial(now) {
		return
	}
	m.limit = max(leastLimit, min(trialLimit, p.fairLimit(m))*math.Pow(trialShare, float64(restarts)))
	m.trialUntil = now.Add(min(leastTrial<<min(restarts-1, 10), mostTrial))
}

// mostOnTrial reports whether one more server on trial would make them more than
// half. After the restart of a whole service requests have nowhere else to go.
func (p *Pool) mostOnTrial(now time.Time) bool {
	count := 1
	for _, m := range p.members {
		if m.onTrial(now) {
			count++
		}
	}
	return 2*count > len(p.members)+1
}

// onTrial reports whether a server has started again lately.
func (m *member) onTrial(now time.Time) bool { return now.Before(m.trialUntil) }
