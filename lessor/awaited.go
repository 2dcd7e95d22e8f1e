package lessor

import "time"

// Awaited describes what shards of earlier terms wait for.
type Awaited struct {
	Shards int
	// Unresponsive lists the previous incarnations whose replies are missing.
	Unresponsive []Incarnation
	// Left is the remaining duration of the longest wait if none of them replies;
	// unbounded if Endless is set.
	Left    time.Duration
	Endless bool
}

// Awaited describes what the lessor's unsettled shards wait for.
func (m *Member) Awaited(now time.Duration) Awaited {
	var awaited Awaited
	if m.role != RoleLessor || !m.settling {
		return awaited
	}
	for _, shard := range m.facts.Shards {
		if m.isSettled(shard) {
			continue
		}
		awaited.Shards++
		end := m.leaseEnd(shard.Policy)
		awaited.Endless = awaited.Endless || !end.set
		awaited.Left = max(awaited.Left, end.at-now)
	}
	for _, run := range m.takeover.former.needed(m.rules) {
		if _, replied := m.takeover.former.reply(incarnationOf(run)); !replied {
			awaited.Unresponsive = append(awaited.Unresponsive, incarnationOf(run))
		}
	}
	return awaited
}
