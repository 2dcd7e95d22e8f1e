// Package reachability decides whether a node is partitioned from the servers of a service: it
// can open a connection to none of them, although they may be running and other nodes may reach
// them. It has no I/O and no clock: times are passed as arguments.
//
// Only new connections count. Open ones may live on while new ones are refused, and they end
// one after the other. A connection that fails leads to a round of probes, and the rounds
// decide, so that the loss of one server or zone is not a partition.
package reachability

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// ProbeInterval is the interval between rounds of probes while they are due.
	ProbeInterval = 250 * time.Millisecond
	// ProbeCount is how many servers are probed in a round, of different zones and services if
	// possible.
	ProbeCount = 4
	// minReached is how many servers of a round must be reached by a partitioned node before it
	// is treated as connected again, or all if there are fewer.
	minReached = 2
	// suspicionTime is how long a failed connection leads to probes.
	suspicionTime = 3 * time.Second
)

// Monitor holds the outcomes of a node's recent attempts to connect to the servers of a service.
// Its zero value is ready for use. It is not safe for concurrent use.
type Monitor struct {
	partitioned bool
	since       time.Time // of the current state; zero: since start
	failedAt    time.Time // latest attempt that failed
	reachedAt   time.Time // latest attempt that succeeded
}

// Record records the outcome of an attempt to connect.
func (m *Monitor) Record(reached bool, now time.Time) {
	if reached {
		m.reachedAt = now
	} else {
		m.failedAt = now
	}
}

// MustProbe reports whether a round of probes is due: the node is partitioned, or the latest
// attempt has failed.
func (m *Monitor) MustProbe(now time.Time) bool {
	isSuspected := !m.failedAt.IsZero() && !m.reachedAt.After(m.failedAt) && now.Sub(m.failedAt) < suspicionTime
	return m.partitioned || isSuspected
}

// RecordRound records a round of probes that began at a time, and reports whether the node has
// become partitioned or connected by it. A round whose node reached any server meanwhile shows
// no partition.
func (m *Monitor) RecordRound(reached, failed int, began, now time.Time) (changed bool) {
	probed := reached + failed
	switch {
	case probed == 0:
		return false
	case !m.partitioned:
		changed = reached == 0 && m.reachedAt.Before(began)
	default:
		changed = reached >= min(minReached, probed)
	}
	if changed {
		m.partitioned, m.since = !m.partitioned, now
	}
	return changed
}

// IsPartitioned reports whether the node can connect to no server of the service.
func (m *Monitor) IsPartitioned() bool { return m.partitioned }

// ReachedAgo returns the time since the latest connection; negative: there was none.
func (m *Monitor) ReachedAgo(now time.Time) time.Duration { return ago(m.reachedAt, now) }

// StateFor returns how long the current state has lasted; negative: since start.
func (m *Monitor) StateFor(now time.Time) time.Duration { return ago(m.since, now) }

func ago(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// Sample returns up to ProbeCount random servers, of as many zones and services as possible.
func Sample(servers []site.Server, random *rand.Rand) []site.Server {
	left := slices.Clone(servers)
	random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	zones, services := map[string]int{}, map[site.ServiceName]int{}
	var sample []site.Server
	for len(left) > 0 && len(sample) < ProbeCount {
		i := 0
		for j, server := range left {
			if zones[server.Zone]+services[server.Service] < zones[left[i].Zone]+services[left[i].Service] {
				i = j
			}
		}
		sample = append(sample, left[i])
		zones[left[i].Zone]++
		services[left[i].Service]++
		left = slices.Delete(left, i, i+1)
	}
	return sample
}
