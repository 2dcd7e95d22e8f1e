// Package load is the interface by which the request path tells what it
// observed of each served request to whatever measures load: hot-key sketches,
// the balancer, experiments.
package load

import (
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Observer takes one observation for each attempt that held a place at a
// server. Observe is called on the request's path: it must not block.
type Observer interface {
	// Observe tells that a request for a key (empty for unkeyed services) of a
	// shard held a place at a server for the busy time, and with what outcome.
	Observe(shard topo.ShardID, key string, server topo.ServerID, busy time.Duration, outcome serverapi.Outcome)
}

// Discard is the Observer for a process in which nothing measures load.
type Discard struct{}

// Observe implements Observer.
func (Discard) Observe(topo.ShardID, string, topo.ServerID, time.Duration, serverapi.Outcome) {}

// OrDiscard returns the observer, or Discard when it is nil.
func OrDiscard(o Observer) Observer {
	if o == nil {
		return Discard{}
	}
	return o
}

// ServerStats is what this node has observed of one backend server as its
// admission point.
type ServerStats struct {
	Server     topo.ServerID
	InFlight   int
	Queued     int
	Limit      int // in force now
	PeakFlight int
	MeanBusy   time.Duration
	Served     uint64
	Shed       uint64 // refused here before they were sent
	Overloaded uint64 // refused by the server as overloaded
	Failures   uint64 // attempts without an answer
	Ejected    bool   // taken out because of what was observed
}

// StatsSource lists what was observed of each server. The router provides it.
type StatsSource interface {
	ServerStats() []ServerStats
}
