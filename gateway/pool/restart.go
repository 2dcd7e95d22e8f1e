package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A restarted server is on probation: it has a low limit until it has answered some requests,
// because its requests in flight are lost if it ends again. This covers crash loops. What
// else is used of an earlier incarnation is in lasting.
const (
	// restartWindow is the longest time between two starts of the same series: a server that
	// has run for longer is treated as stable.
	restartWindow = 10 * time.Second
	// minProbation is the probation after one restart, as in a rolling upgrade. It doubles
	// with each further restart up to maxProbation.
	minProbation = time.Second
	maxProbation = 16 * time.Second
	// probationLimitFactor multiplies the initial limit for each restart of a series.
	probationLimitFactor = 0.5
	// probationIncrease multiplies the limit on each response without a queue while the
	// server is on probation, up to maxProbationLimit.
	probationIncrease = 1.25
	maxProbationLimit = 1.0
)

// history records the incarnations of a server.
type history struct {
	id       site.ServerID // of the latest incarnation
	startAt  time.Time     // when that incarnation was first seen
	seenAt   time.Time     // when it was last registered
	restarts int           // in the current series
	// lasting is what is kept of the server since it was removed, at removedAt.
	lasting   lasting
	removedAt time.Time
}

// recordIncarnation records a registered incarnation and returns the number of restarts in
// the current series.
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

// pruneHistories drops the histories of servers that have not been registered for
// restartWindow and have asked for no longer rest.
func (p *Pool) pruneHistories(now time.Time) {
	for name, h := range p.histories {
		if now.Sub(h.seenAt) > restartWindow && !h.lasting.rests(now) {
			delete(p.histories, name)
		}
	}
}

// startProbation lowers the initial limit of a server after consecutive restarts. The limit
// starts from the fair share among all nodes: one request from each of eight nodes exceeds
// four slots.
func (p *Pool) startProbation(m *member, restarts int, now time.Time) {
	if restarts == 0 || restarts == 1 && p.mostOnProbation(now) {
		return
	}
	m.limit = max(minLimit, min(maxProbationLimit, p.fairLimit(m))*math.Pow(probationLimitFactor, float64(restarts)))
	m.probationUntil = now.Add(min(minProbation<<min(restarts-1, 10), maxProbation))
}

// mostOnProbation reports whether one more server on probation would make them more than
// half. After the restart of a whole service, requests have no other server.
func (p *Pool) mostOnProbation(now time.Time) bool {
	count := 1
	for _, m := range p.members {
		if m.onProbation(now) {
			count++
		}
	}
	return 2*count > len(p.members)+1
}

// onProbation reports whether a server has recently restarted.
func (m *member) onProbation(now time.Time) bool { return now.Before(m.probationUntil) }
