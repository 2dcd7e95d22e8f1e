package lessor

import "time"

// Awaited is what shards of earlier terms wait for.
type Awaited struct {
	Shards int
	// Silent are the former runs whose answers are missing.
	Silent []Run
	// Left is how long the longest wait lasts if none of them answers; without end if
	// Endless is set.
	Left    time.Duration
	Endless bool
}

// Awaited returns what the lessor's unsettled shards wait for.
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
		if _, said := m.takeover.former.reply(runOf(run)); !said {
			awaited.Silent = append(awaited.Silent, runOf(run))
		}
	}
	return awaited
}
