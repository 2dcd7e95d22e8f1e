package limit

import (
	"slices"
	"sort"
	"time"
)

const (
	// minQuantum is the share's gain per round while busy times are not known.
	minQuantum = time.Millisecond
	// maxRounds bounds a share's debt, and its credit, in quanta.
	maxRounds = 8
)

// share is one caller's part of the queue.
type share struct {
	caller   string
	waiting  []Entry // by deadline
	deficit  time.Duration
	inFlight int
}

// shares is a deficit round robin over callers, in server time: a share pays
// the expected busy time when it is granted a place, and the difference to the
// real one when it gives the place back. Within a share the earliest deadline
// goes first.
type shares struct {
	byCaller map[string]*share
	ring     []*share // those with waiting entries
	cursor   int
	queued   int
}

func newShares() shares { return shares{byCaller: map[string]*share{}} }

// of returns the share of a caller, made if need be.
func (s *shares) of(caller string) *share {
	found, exists := s.byCaller[caller]
	if !exists {
		found = &share{caller: caller}
		s.byCaller[caller] = found
	}
	return found
}

func (s *shares) insert(entry Entry) {
	owner := s.of(entry.Caller)
	if len(owner.waiting) == 0 {
		s.ring = append(s.ring, owner)
	}
	at := owner.rank(entry.Deadline)
	owner.waiting = slices.Insert(owner.waiting, at, entry)
	s.queued++
}

// rank is how many of the share's entries go before one with that deadline.
func (s *share) rank(deadline time.Time) int {
	return sort.Search(len(s.waiting), func(i int) bool {
		return s.waiting[i].Deadline.After(deadline)
	})
}

// position estimates how many entries would be granted before a new one: those
// of its own share with earlier deadlines, and as many rounds of the others.
func (s *shares) position(entry Entry) int {
	before := 0
	if own, exists := s.byCaller[entry.Caller]; exists {
		before = own.rank(entry.Deadline)
	}
	position := before
	for _, other := range s.ring {
		if other.caller != entry.Caller {
			position += min(len(other.waiting), before+1)
		}
	}
	return position
}

// next takes the next entry of the round robin; the queue must not be empty. A
// share without credit gets a quantum for its next turn and is passed over.
func (s *shares) next(quantum time.Duration) (*share, Entry) {
	for {
		if s.cursor >= len(s.ring) {
			s.cursor = 0
		}
		owner := s.ring[s.cursor]
		if owner.deficit > 0 {
			entry := owner.waiting[0]
			s.take(owner, 0)
			return owner, entry
		}
		owner.deficit = max(owner.deficit, -maxRounds*quantum) + quantum
		s.cursor++
	}
}

// take removes a waiting entry of a share. A share that has nothing more to
// wait for leaves the ring and loses its credit.
func (s *shares) take(owner *share, at int) {
	owner.waiting = slices.Delete(owner.waiting, at, at+1)
	s.queued--
	if len(owner.waiting) > 0 {
		return
	}
	owner.deficit = min(owner.deficit, 0)
	place := slices.Index(s.ring, owner)
	s.ring = slices.Delete(s.ring, place, place+1)
	if place < s.cursor {
		s.cursor--
	}
}

// settle ends one request of a share and charges what it took beyond what it
// paid.
func (s *shares) settle(owner *share, difference, quantum time.Duration) {
	owner.inFlight--
	owner.deficit = max(owner.deficit-difference, -maxRounds*quantum)
	owner.deficit = min(owner.deficit, quantum)
	s.release(owner)
}

// release forgets a share without entries and requests in flight.
func (s *shares) release(owner *share) {
	if len(owner.waiting) == 0 && owner.inFlight == 0 {
		delete(s.byCaller, owner.caller)
	}
}

func (s *shares) remove(entry Entry) bool {
	owner, exists := s.byCaller[entry.Caller]
	if !exists {
		return false
	}
	at := slices.IndexFunc(owner.waiting, func(e Entry) bool { return e.ID == entry.ID })
	if at < 0 {
		return false
	}
	s.take(owner, at)
	s.release(owner)
	return true
}

// makeRoom chooses what a full queue gives up for a new entry: the latest
// deadline of the longest share if that is longer than the new entry's would
// be, else a later deadline of the same caller. It is false when there is none:
// then the new entry itself has to go.
func (s *shares) makeRoom(entry Entry) (Entry, bool) {
	victim := s.longest()
	own := s.byCaller[entry.Caller]
	ownLength := 0
	if own != nil {
		ownLength = len(own.waiting)
	}
	if victim == nil || len(victim.waiting) <= ownLength+1 {
		if ownLength == 0 || own.rank(entry.Deadline) == ownLength {
			return Entry{}, false
		}
		victim = own
	}
	last := len(victim.waiting) - 1
	evicted := victim.waiting[last]
	s.take(victim, last)
	s.release(victim)
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

// filter keeps the entries that keep says yes to, asked round by round.
func (s *shares) filter(keep func(Entry) bool) {
	var drop []Entry
	for round, left := 0, true; left; round++ {
		left = false
		for _, owner := range s.ring {
			if round >= len(owner.waiting) {
				continue
			}
			left = true
			if !keep(owner.waiting[round]) {
				drop = append(drop, owner.waiting[round])
			}
		}
	}
	for _, entry := range drop {
		s.remove(entry)
	}
}
