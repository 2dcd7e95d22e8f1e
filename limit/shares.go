package limit

import (
	"slices"
	"sort"
	"time"
)

const (
	// minQuantum is the minimum credit per round, also while busy times are not
	// known.
	minQuantum = time.Millisecond
	// maxRounds limits a share's debt, in quanta. Its credit is at most one
	// quantum.
	maxRounds = 8
)

// shareKey identifies a share. A caller's own requests and the nested requests
// that it makes while it serves a request belong to different shares.
type shareKey struct {
	caller string
	nested bool // requested by a service while it serves a request
}

func shareKeyFor(entry Entry) shareKey { return shareKey{entry.Caller, entry.Hop > 0} }

// share is one caller's part of the queue.
type share struct {
	key      shareKey
	waiting  []Entry // by deadline
	deficit  time.Duration
	inFlight int
}

// shares schedules entries by deficit round robin over callers, measured in
// server time: a share is charged the expected busy time when it is granted a
// slot, and the difference to the actual busy time when the slot is released.
// Within a share, the entry with the earliest deadline is first. Nested entries
// take precedence over callers' own; see precedence.
type shares struct {
	byKey      map[shareKey]*share
	ring       []*share // shares with waiting entries
	cursor     int
	queued     int
	precedence precedence
}

func newShares() shares { return shares{byKey: map[shareKey]*share{}} }

// shareFor returns the share of an entry and creates it if necessary.
func (s *shares) shareFor(entry Entry) *share {
	key := shareKeyFor(entry)
	found, exists := s.byKey[key]
	if !exists {
		found = &share{key: key}
		s.byKey[key] = found
	}
	return found
}

func (s *shares) insert(entry Entry) {
	owner := s.shareFor(entry)
	if len(owner.waiting) == 0 {
		s.ring = append(s.ring, owner)
	}
	at := owner.insertPosition(entry.Deadline)
	owner.waiting = slices.Insert(owner.waiting, at, entry)
	s.queued++
	s.precedence.add(owner.key, 1)
}

// insertPosition returns the number of the share's entries that precede an entry
// with the given deadline.
func (s *share) insertPosition(deadline time.Time) int {
	return sort.Search(len(s.waiting), func(i int) bool {
		return s.waiting[i].Deadline.After(deadline)
	})
}

// position estimates how many entries will be granted a slot before a new one:
// the entries of its own share with earlier deadlines, the entries that the other
// shares of its kind are granted in as many rounds, and the entries of the other
// kind that are granted meanwhile. The kinds are nested and callers' own.
func (s *shares) position(entry Entry) int {
	key := shareKeyFor(entry)
	before := 0
	if own, exists := s.byKey[key]; exists {
		before = own.insertPosition(entry.Deadline)
	}
	position := before
	for _, other := range s.ring {
		if other.key != key && other.key.nested == key.nested {
			position += min(len(other.waiting), before+1)
		}
	}
	return position + s.precedence.otherKindBefore(key.nested, position)
}

// next removes and returns the next entry of the round robin. The queue must not
// be empty. A share without credit is credited a quantum and skipped until the
// next round.
func (s *shares) next(quantum time.Duration) (*share, Entry) {
	nested := s.precedence.nextNested()
	for {
		if s.cursor >= len(s.ring) {
			s.cursor = 0
		}
		owner := s.ring[s.cursor]
		if owner.key.nested != nested {
			s.cursor++
			continue
		}
		if owner.deficit > 0 {
			entry := owner.waiting[0]
			s.removeAt(owner, 0)
			return owner, entry
		}
		owner.deficit = max(owner.deficit, -maxRounds*quantum) + quantum
		s.cursor++
	}
}

// removeAt removes a waiting entry of a share. A share without further entries is
// removed from the ring and loses its credit, but not its debt.
func (s *shares) removeAt(owner *share, at int) {
	owner.waiting = slices.Delete(owner.waiting, at, at+1)
	s.queued--
	s.precedence.add(owner.key, -1)
	if len(owner.waiting) > 0 {
		return
	}
	owner.deficit = min(owner.deficit, 0)
	index := slices.Index(s.ring, owner)
	s.ring = slices.Delete(s.ring, index, index+1)
	if index < s.cursor {
		s.cursor--
	}
}

// finish completes one request of a share and charges the share the difference
// between the actual and the charged busy time.
func (s *shares) finish(owner *share, difference, quantum time.Duration) {
	owner.inFlight--
	owner.deficit = max(owner.deficit-difference, -maxRounds*quantum)
	owner.deficit = min(owner.deficit, quantum)
	s.dropIfIdle(owner)
}

// dropIfIdle removes a share without waiting entries and requests in flight.
func (s *shares) dropIfIdle(owner *share) {
	if len(owner.waiting) == 0 && owner.inFlight == 0 {
		delete(s.byKey, owner.key)
	}
}

func (s *shares) remove(entry Entry) bool {
	owner, exists := s.byKey[shareKeyFor(entry)]
	if !exists {
		return false
	}
	at := slices.IndexFunc(owner.waiting, func(e Entry) bool { return e.ID == entry.ID })
	if at < 0 {
		return false
	}
	s.removeAt(owner, at)
	s.dropIfIdle(owner)
	return true
}

// evict removes and returns the entry that a full queue gives up for a new one.
// This is the entry with the latest deadline of the longest share, if that share
// is longer than the new entry's share would become. Otherwise it is the entry
// with the latest deadline of the new entry's own share, if that deadline is
// later than the new one. If neither exists, the result is false and the new
// entry must be refused.
func (s *shares) evict(entry Entry) (Entry, bool) {
	victim := s.longest()
	own := s.byKey[shareKeyFor(entry)]
	ownLength := 0
	if own != nil {
		ownLength = len(own.waiting)
	}
	if victim == nil || len(victim.waiting) <= ownLength+1 {
		if ownLength == 0 || own.insertPosition(entry.Deadline) == ownLength {
			return Entry{}, false
		}
		victim = own
	}
	last := len(victim.waiting) - 1
	evicted := victim.waiting[last]
	s.removeAt(victim, last)
	s.dropIfIdle(victim)
	return evicted, true
}

func (s *shares) longest() *share {
	var longest *share
	for _, candidate := range s.ring {
		if longest == nil || len(candidate.waiting) > len(longest.waiting) {
			longest = candidate
		}
	}
	return longest
}

// filter removes the entries for which keep returns false. It calls keep in the
// order of the rounds, for nested entries first.
func (s *shares) filter(keep func(Entry) bool) {
	var drop []Entry
	for _, nested := range []bool{true, false} {
		drop = append(drop, s.rejectedBy(nested, keep)...)
	}
	for _, entry := range drop {
		s.remove(entry)
	}
}

// rejectedBy lists the entries of one kind for which keep returns false.
func (s *shares) rejectedBy(nested bool, keep func(Entry) bool) []Entry {
	var list []Entry
	for round, left := 0, true; left; round++ {
		left = false
		for _, owner := range s.ring {
			if owner.key.nested != nested || round >= len(owner.waiting) {
				continue
			}
			left = true
			if !keep(owner.waiting[round]) {
				list = append(list, owner.waiting[round])
			}
		}
	}
	return list
}
