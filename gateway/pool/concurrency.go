package pool

import "time"

// usableSlots returns the slots of a server, reduced to the number of running requests that it takes well by the guidance.
// This changes which server a request gets and how long it is expected to take, but a server with a limit still takes
// requests while others have no room. The rule of free slots counts all slots: with the limit, less urgent requests were late
// more often.
func (p *Pool) usableSlots(m *member, now time.Time) float64 {
	slots := max(m.Slots, 1)
	if m.concurrency > 0 && now.Before(p.guided.speedUntil) {
		slots = min(m.concurrency, slots)
	}
	return float64(slots)
}

// applyConcurrency copies the limits of the guidance to the servers.
func (p *Pool) applyConcurrency() {
	for _, m := range p.members {
		m.concurrency = 0
		if p.guided.hasSpeeds {
			m.concurrency = p.guided.Concurrency[m.ID]
		}
	}
}
