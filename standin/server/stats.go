package server

import "sync"

// Stats is what a server counted over all its runs.
type Stats struct {
	Requests  uint64 // that reached the server
	Ran       uint64 // that were begun
	Committed uint64 // whose answer stood
	Replayed  uint64 // answered from the record of tickets
	NotOwner  uint64 // refused for lack of ownership
	Lost      uint64 // whose ownership ended while they ran
	LostReply uint64 // whose answer was dropped on purpose
	Shed      uint64 // refused by the concurrency limit or on purpose
	// InFlight and PeakInFlight count the requests admitted under the
	// concurrency limit; OverLimit those that came while it was reached.
	InFlight     int
	PeakInFlight int
	OverLimit    uint64
	// Connections and PeakConnections count those open under the connection
	// limit; RefusedConnections those that came while it was reached.
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

// update changes the counters.
func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// admit takes a place under the concurrency limit; false when there is none.
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

// leave gives the place back.
func (c *counters) leave() { c.update(func(s *Stats) { s.InFlight-- }) }

// read returns a copy.
func (c *counters) read() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
