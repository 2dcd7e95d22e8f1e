// Package load measures load. The request path reports each attempt that occupied
// a slot at a server to an Observer. A Recorder averages these observations on
// each node, a Collector merges the reports of all nodes, and Sources builds the
// balancer's input from them.
package load

import (
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Observer receives one observation for each attempt that occupied a slot at a
// server. Observe is called on the request path and must not block.
type Observer interface {
	// Observe records that a request for a key of a shard occupied a slot at a
	// server for the busy time and ended with the outcome. The key is empty for
	// unkeyed services.
	Observe(shard topo.ShardID, key string, server topo.ServerID, busy time.Duration, outcome serverapi.Outcome)
}

// Discard is an Observer that ignores all observations.
type Discard struct{}

// Observe implements Observer.
func (Discard) Observe(topo.ShardID, string, topo.ServerID, time.Duration, serverapi.Outcome) {}

// OrDiscard returns the observer, or Discard if it is nil.
func OrDiscard(o Observer) Observer {
	if o == nil {
		return Discard{}
	}
	return o
}

// ServerStats holds what this node has observed of one backend server as the
// server's admission point. The state dump writes the fields under their Go names.
type ServerStats struct {
	Server     topo.ServerID
	InFlight   int
	Queued     int
	Limit      int // current concurrency limit
	PeakFlight int // highest InFlight
	MeanBusy   time.Duration
	Served     uint64
	Shed       uint64 // requests refused by this node before they were sent
	Overloaded uint64 // requests refused by the server as overloaded
	Failures   uint64 // attempts without a response
	Ejected    bool   // ejected because of observed failures
}

// StatsSource returns the statistics of each server. The router implements it.
type StatsSource interface {
	ServerStats() []ServerStats
}
