package server

import "sync"

// Stats holds a server's counters over all its incarnations.
type Stats struct {
	Requests  uint64 // received requests
	Ran       uint64 // runs that began
	Committed uint64 // runs that were committed
	Replayed  uint64 // requests answered from the record of tickets
	NotOwner  uint64 // requests refused for lack of ownership
	Lost      uint64 // runs that were not committed, for example because ownership ended meanwhile
	LostReply uint64 // answers dropped by fault injection
	Shed      uint64 // requests refused by the concurrency limit or by fault injection
	// InFlight and PeakInFlight count the requests admitted under the concurrency
	// limit; OverLimit counts the requests that arrived while it was reached.
	InFlight     int
	PeakInFlight int
	OverLimit    uint64
	// Connections and PeakConnections count the connections open under the connection
	// limit; RefusedConnections counts those that arrived while it was reached.
	Connections        int
	PeakConnections    int
	RefusedConnections uint64
	TotalConnections   uint64
	Renewals           uint64
	Boot               string
	Draining           bool
	Frozen             bool
}

// counters guards the part of Stats that requests change.
type counters struct {
	mu    sync.Mutex
	stats Stats
	limit int // concurrency limit; 0 for none
}

// update applies change to the counters under the lock.
func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// admit takes a slot under the concurrency limit and reports whether one was free.
func (c *counters) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && c.stats.InFlight >= c.limit {
		c.stats.OverLimit++
		c.stats.Shed++
		return false
	}
	c.stats.InFlight++
	c.stats.PeakInFlight = max(c.stats.PeakInFlight, c.stats.InFlight)
	return true
}

// release releases the slot.
func (c *counters) release() { c.update(func(s *Stats) { s.InFlight-- }) }

// snapshot returns a copy of the counters.
func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
