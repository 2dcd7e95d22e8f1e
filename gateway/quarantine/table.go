package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// crashesToSuspect is the number of servers that must have ended under a request before
	// its answers are observed: an answer shows that the request is harmless.
	crashesToSuspect = 2
	// SharedThreshold is the number of servers that must have ended under a request, and under
	// no other quarantined one, before it is quarantined on the reports of all nodes.
	SharedThreshold = 3
	// OwnThreshold is the same on the observations of one node, which does not see the
	// requests that other nodes had at these servers.
	OwnThreshold = 5
	// settleTime is how long after the first report of a server's end decisions wait for
	// other nodes' reports of it, also if the first is lost and repeated with the next
	// regular one, and for reports of answers.
	settleTime = time.Second
	// firstTrialDelay is the time from the quarantine of a request to its first trial, and
	// trialInterval the time between further trials. Each trial may end one more server.
	firstTrialDelay = 30 * time.Second
	// tiedTrialDelay is the same if several requests have equally many crashes.
	tiedTrialDelay = 2 * time.Second
	trialInterval  = 10 * time.Minute
	// evidenceTime is how long the end of a server counts, and a quarantine lasts after its
	// latest crash.
	evidenceTime = 30 * time.Minute
)

// Bounds of a table, so that no caller can fill it.
const (
	maxRequestsPerCaller = 8
	maxRequests          = 2000
	maxServersPerRequest = 32
)

// Table holds which servers ended under which requests. It is not safe for concurrent use.
type Table struct {
	threshold int
	requests  map[Fingerprint]*request
	endedAt   map[site.ServerID]time.Time // when the end of a server was first reported
	decideAt  time.Time                   // next decision; zero: none is due
	// lastTrial is the number of the latest trial of any request. Nodes remember the trials
	// that they sent, also of requests that were released since.
	lastTrial int
}

// request is what is known of one request.
type request struct {
	caller        Caller                 // of the first crash
	servers       map[site.ServerID]bool // that ended while they had it
	lastCrashAt   time.Time
	quarantinedAt time.Time // zero: not quarantined
	nextTrialAt   time.Time
	trial         int // number of the current trial, unique in the table; 0: none yet
}

// NewTable returns an empty table that quarantines a request after a number of crashes.
func NewTable(threshold int) *Table {
	return &Table{threshold: threshold, requests: map[Fingerprint]*request{}, endedAt: map[site.ServerID]time.Time{}}
}

// NoteCrash records that a server ended while it had a caller's request. Repeated reports
// count once.
func (t *Table) NoteCrash(server site.ServerID, f Fingerprint, caller Caller, now time.Time) {
	if _, exists := t.endedAt[server]; !exists {
		t.endedAt[server] = now
	}
	r := t.requests[f]
	if r == nil {
		t.makeRoom(caller)
		r = &request{caller: caller, servers: map[site.ServerID]bool{}}
		t.requests[f] = r
	}
	if r.servers[server] || len(r.servers) >= maxServersPerRequest {
		return
	}
	r.servers[server] = true
	r.lastCrashAt = now
	t.scheduleDecision(now)
}

// NoteAnswer records that a server has answered a request without an error, so that the
// request is harmless.
func (t *Table) NoteAnswer(f Fingerprint, now time.Time) {
	if _, exists := t.requests[f]; exists {
		delete(t.requests, f)
		t.scheduleDecision(now)
	}
}

func (t *Table) scheduleDecision(at time.Time) {
	if t.decideAt.IsZero() || at.Before(t.decideAt) {
		t.decideAt = at
	}
}

// Update makes the decisions that are due and reports whether the list may have changed.
func (t *Table) Update(now time.Time) bool {
	if t.decideAt.IsZero() || now.Before(t.decideAt) {
		return false
	}
	t.decideAt = time.Time{}
	t.expire(now)
	for t.quarantineNext(now) {
	}
	t.releaseExplained()
	t.startTrials(now)
	t.scheduleNext(now)
	return true
}

// quarantineNext quarantines the request with the most crashes that no quarantined request
// explains, and reports whether there was one. A crash is explained by each quarantined
// request that the server had. An innocent request that was at the same servers as the cause
// thus has no unexplained crashes left. If several requests have equally many, all of them
// are quarantined: waiting for a difference would crash further servers.
func (t *Table) quarantineNext(now time.Time) bool {
	explained := t.explainedServers()
	most := 0
	var candidates []*request
	for _, r := range t.requests {
		if !r.quarantinedAt.IsZero() {
			continue
		}
		switch count := t.unexplained(r, explained, now); {
		case count > most:
			most, candidates = count, []*request{r}
		case count == most:
			candidates = append(candidates, r)
		}
	}
	if most < t.threshold {
		return false
	}
	delay := firstTrialDelay
	if len(candidates) > 1 {
		delay = tiedTrialDelay
	}
	for _, r := range candidates {
		r.quarantinedAt, r.nextTrialAt = now, now.Add(delay)
	}
	return true
}

// releaseExplained ends the quarantine of requests whose crashes are explained by a request
// with more crashes, which was quarantined later because its reports arrived later.
func (t *Table) releaseExplained() {
	for _, r := range t.requests {
		if !r.quarantinedAt.IsZero() && t.unexplainedByGreater(r) < t.threshold {
			r.quarantinedAt, r.trial = time.Time{}, 0
		}
	}
}

// unexplainedByGreater counts the servers that ended under a request, and under no
// quarantined one that has more.
func (t *Table) unexplainedByGreater(r *request) int {
	explained := map[site.ServerID]bool{}
	for _, other := range t.requests {
		if !other.quarantinedAt.IsZero() && len(other.servers) > len(r.servers) {
			maps.Copy(explained, other.servers)
		}
	}
	count := 0
	for server := range r.servers {
		if !explained[server] {
			count++
		}
	}
	return count
}

// startTrials lets one node send a quarantined request once, because it may be innocent or
// the servers may have been repaired. The request stays quarantined.
func (t *Table) startTrials(now time.Time) {
	for _, r := range t.requests {
		if !r.quarantinedAt.IsZero() && !now.Before(r.nextTrialAt) {
			t.lastTrial++
			r.trial = t.lastTrial
			r.nextTrialAt = now.Add(trialInterval)
		}
	}
}

// explainedServers returns the servers that ended under a quarantined request.
func (t *Table) explainedServers() map[site.ServerID]bool {
	explained := map[site.ServerID]bool{}
	for _, r := range t.requests {
		if !r.quarantinedAt.IsZero() {
			maps.Copy(explained, r.servers)
		}
	}
	return explained
}

// unexplained counts the servers that ended under a request, without those that another one
// explains and those of which other nodes may still report requests.
func (t *Table) unexplained(r *request, explained map[site.ServerID]bool, now time.Time) int {
	count := 0
	for server := range r.servers {
		if !explained[server] && now.Sub(t.endedAt[server]) >= settleTime {
			count++
		}
	}
	return count
}

// expire removes requests without a recent crash.
func (t *Table) expire(now time.Time) {
	used := map[site.ServerID]bool{}
	for f, r := range t.requests {
		if now.Sub(r.lastCrashAt) >= evidenceTime {
			delete(t.requests, f)
			continue
		}
		maps.Copy(used, r.servers)
	}
	maps.DeleteFunc(t.endedAt, func(server site.ServerID, _ time.Time) bool { return !used[server] })
}

// scheduleNext schedules the next decision, after settleTime or an expiry.
func (t *Table) scheduleNext(now time.Time) {
	for _, r := range t.requests {
		next := r.lastCrashAt.Add(evidenceTime)
		if !r.quarantinedAt.IsZero() {
			next = r.nextTrialAt
		}
		t.scheduleDecision(next)
	}
	for _, at := range t.endedAt {
		if settled := at.Add(settleTime); settled.After(now) {
			t.scheduleDecision(settled)
		}
	}
}

// makeRoom removes a request if its caller, or the table, has too many.
func (t *Table) makeRoom(caller Caller) {
	count := 0
	for _, r := range t.requests {
		if r.caller == caller {
			count++
		}
	}
	if count >= maxRequestsPerCaller {
		t.removeLeast(func(r *request) bool { return r.caller == caller })
	}
	if len(t.requests) >= maxRequests {
		t.removeLeast(func(*request) bool { return true })
	}
}

// removeLeast removes, of the requests that match, the one under which the fewest servers
// ended; of several, the one with the oldest crash. Quarantined requests are removed last.
func (t *Table) removeLeast(matches func(*request) bool) {
	var least Fingerprint
	var found *request
	for f, r := range t.requests {
		if matches(r) && (found == nil || r.isLess(found)) {
			least, found = f, r
		}
	}
	delete(t.requests, least)
}

func (r *request) isLess(other *request) bool {
	switch {
	case r.quarantinedAt.IsZero() != other.quarantinedAt.IsZero():
		return r.quarantinedAt.IsZero()
	case len(r.servers) != len(other.servers):
		return len(r.servers) < len(other.servers)
	}
	return r.lastCrashAt.Before(other.lastCrashAt)
}

// Knows reports whether a server ended while it had a request.
func (t *Table) Knows(f Fingerprint) bool {
	_, exists := t.requests[f]
	return exists
}

// IsEmpty reports whether no request is known.
func (t *Table) IsEmpty() bool { return len(t.requests) == 0 }

// List returns the requests that are quarantined or whose answers must be observed.
func (t *Table) List() List {
	list := List{}
	for f, r := range t.requests {
		isQuarantined := !r.quarantinedAt.IsZero()
		if !isQuarantined && len(r.servers) < crashesToSuspect {
			continue
		}
		list[f] = Entry{Quarantined: isQuarantined, Trial: r.trial, Servers: slices.Sorted(maps.Keys(r.servers))}
	}
	return list
}

// Adopt adds the entries of a list, such as the list of the previous lessor.
func (t *Table) Adopt(list List, now time.Time) {
	for f, entry := range list {
		r := &request{servers: map[site.ServerID]bool{}, lastCrashAt: now, trial: entry.Trial}
		for _, server := range entry.Servers {
			r.servers[server] = true
			t.endedAt[server] = now.Add(-settleTime)
		}
		if entry.Quarantined {
			r.quarantinedAt, r.nextTrialAt = now, now.Add(trialInterval)
			if entry.Trial == 0 {
				r.nextTrialAt = now.Add(firstTrialDelay)
			}
		}
		t.requests[f] = r
		t.lastTrial = max(t.lastTrial, entry.Trial)
	}
	t.scheduleNext(now)
}
