package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Reasons given in submissions, for operators.
const (
	reasonTakeover  = "takeover"
	reasonLost      = "server lost"
	reasonRestarted = "server restarted"
	reasonBind      = "server seen"
	reasonMove      = "planned move"
	reasonActivated = "standby activated"
	reasonRelease   = "service retired"
	reasonDecide    = "fate of an earlier record unknown"
)

// submission is the record of assignments that is in flight to the log. While
// its outcome is unknown, none of its shards is granted to any server.
type submission struct {
	number   uint64
	inFlight bool
	retryAt  moment // earliest time of the next submission
	// undecided holds the shards of records whose outcome is not known, or not
	// seen in the state yet.
	undecided map[topo.ShardID]undecidedShard
	// visible is the offset at which the state contains the latest record; only
	// then are its shards decided.
	visible topo.Offset
}

// undecidedShard is a shard that a record may still change.
type undecidedShard struct {
	expected topo.Fence
	number   uint64 // of the latest record
	unknown  bool   // the outcome of an earlier record was never observed
}

// maySubmit reports whether assignments may be written now. They are written
// only in connected mode, because a standby lessor that may take over without
// the log must not miss any.
func (m *Member) maySubmit(now time.Duration) bool {
	if m.role != RoleLessor || m.offLog || m.right.mode != ModeConnected {
		return false
	}
	if m.submit.inFlight || m.facts.Applied < m.submit.visible {
		return false
	}
	if m.submit.retryAt.set && now < m.submit.retryAt.at {
		return false
	}
	return m.contact.fresher(now, m.cfg.Lease.TTL)
}

// BeginSubmit returns the assignments to write now, and the number by which
// their outcome is reported.
func (m *Member) BeginSubmit(now time.Duration) (Submission, uint64, bool) {
	if !m.maySubmit(now) {
		return Submission{}, 0, false
	}
	assigns, reason := m.collect(now)
	if len(assigns) == 0 {
		return Submission{}, 0, false
	}
	m.submit.number++
	m.submit.inFlight = true
	for _, a := range assigns {
		earlier := m.submit.undecided[a.Shard]
		m.submit.undecided[a.Shard] = undecidedShard{a.Expected, m.submit.number, earlier.unknown}
		m.markSubmitted(a.Shard)
	}
	return Submission{Term: m.term, Assigns: assigns, Reason: reason}, m.submit.number, true
}

// markSubmitted records that a planned move is being written to the log.
func (m *Member) markSubmitted(id topo.ShardID) {
	if mv, moving := m.moves[id]; moving {
		mv.submitted = true
	}
}

// SubmitDone reports that the record's outcome is known: it was applied at
// offset, whether or not it changed anything.
func (m *Member) SubmitDone(now time.Duration, number uint64, offset topo.Offset) {
	if number != m.submit.number {
		return
	}
	m.submit.inFlight = false
	m.submit.visible = offset
	m.dropDecided()
	m.advance(now)
}

// SubmitFailed reports that the record was not appended or, if unknown is set,
// that it may have been or may still be appended.
func (m *Member) SubmitFailed(now time.Duration, number uint64, unknown bool) {
	if number != m.submit.number {
		return
	}
	m.submit.inFlight = false
	m.submit.retryAt = momentAt(now + m.cfg.RetryAfter)
	for id, d := range m.submit.undecided {
		if d.number != number {
			continue
		}
		m.submitFailed(id)
		d.unknown = d.unknown || unknown
		m.submit.undecided[id] = d
	}
	m.dropDecided()
	m.advance(now)
}

// dropDecided drops the shards that no record can change any longer: their
// fence has changed, or every record about them is known to have failed. After
// such a failure a planned move is abandoned, so that the owner gets the shard
// back at once: the target of the move may be gone.
func (m *Member) dropDecided() {
	settled := !m.submit.inFlight && m.facts.Applied >= m.submit.visible
	for id, d := range m.submit.undecided {
		changed := m.inForce(id) != d.expected
		failed := settled && !d.unknown
		if changed || failed {
			delete(m.submit.undecided, id)
		}
		if failed && !changed {
			m.abandonMove(id)
		}
	}
}

// inForce returns the fence that a record about a shard must expect: for a key
// that is not split out, the fence of its hash range. It is zero if no server
// of the group owns the shard.
func (m *Member) inForce(id topo.ShardID) topo.Fence {
	shard, exists := m.facts.Shards[id]
	if exists || id.Key == "" {
		return shard.Fence
	}
	covering := m.facts.Shards[rangeOf(id)]
	if slices.Contains(covering.Except, id.Key) {
		return topo.Fence{}
	}
	return covering.Fence
}

// rangeOf returns the hash range that a split key belongs to.
func rangeOf(id topo.ShardID) topo.ShardID {
	id.Key = ""
	return id
}

func (m *Member) isUndecided(id topo.ShardID) bool {
	_, undecided := m.submit.undecided[id]
	return undecided
}

// undecided returns the undecided shards in a fixed order.
func (m *Member) undecided() []topo.ShardID {
	return slices.SortedFunc(maps.Keys(m.submit.undecided), compareShards)
}

// pendingSplits returns the keys that are about to be split out of a hash
// range, or may have been.
func (m *Member) pendingSplits() []topo.ShardID {
	var splits []topo.ShardID
	for id := range m.submit.undecided {
		if id.Key != "" {
			splits = append(splits, id)
		}
	}
	for id := range m.moves {
		if id.Key != "" && !m.isUndecided(id) {
			splits = append(splits, id)
		}
	}
	if m.offLog {
		for id := range m.takeover.fromLessor.undecided {
			if id.Key != "" {
				splits = append(splits, id)
			}
		}
	}
	slices.SortFunc(splits, compareShards)
	return splits
}
