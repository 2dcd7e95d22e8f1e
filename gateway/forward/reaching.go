package forward

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// reachingValidity is how long a node is taken to reach a service after it has shown that.
	reachingValidity = 3 * time.Second
	// maxReaching bounds the pairs of a node and a service that are held.
	maxReaching = 4096
)

// evidence is how this node knows that another one reaches a service.
type evidence int

const (
	reported evidence = iota // by a third node
	observed                 // by an answer to a request of this node
)

// reaching holds which nodes have lately shown that they reach the servers of a service. It is not
// safe for concurrent use.
type reaching map[reachingKey]reachingEntry

type reachingKey struct {
	boot    string
	service site.ServiceName
}

type reachingEntry struct {
	at  time.Time
	how evidence
}

func (e reachingEntry) isValid(now time.Time) bool { return now.Sub(e.at) < reachingValidity }

func (r reaching) has(boot string, service site.ServiceName, now time.Time) bool {
	entry, exists := r[reachingKey{boot, service}]
	return exists && entry.isValid(now)
}

// note records that a node reaches a service. A report does not replace an observation.
func (r reaching) note(boot string, service site.ServiceName, how evidence, now time.Time) {
	key := reachingKey{boot, service}
	entry, exists := r[key]
	if exists && entry.how > how && entry.isValid(now) {
		return
	}
	if !exists && len(r) >= maxReaching {
		r.removeExpired(now)
	}
	if exists || len(r) < maxReaching {
		r[key] = reachingEntry{at: now, how: how}
	}
}

func (r reaching) removeExpired(now time.Time) {
	for key, entry := range r {
		if !entry.isValid(now) {
			delete(r, key)
		}
	}
}

func (r reaching) forget(boot string, service site.ServiceName) {
	delete(r, reachingKey{boot, service})
}

// anyObserved returns a node that has answered a request to a service; empty: none has. Reports are
// not passed on, so that an outdated one ends.
func (r reaching) anyObserved(service site.ServiceName, now time.Time) string {
	for key, entry := range r { // in random order, so that one node is not named to all others
		if key.service == service && entry.how == observed && entry.isValid(now) {
			return key.boot
		}
	}
	return ""
}
