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

// shareKey names a share. What a caller asks for itself and what it asks for
// while it serves somebody else are two shares.
type shareKey struct {
	caller string
	nested bool // asked for by a service that serves a request
}

func shareKeyFor(entry Entry) shareKey { return shareKey{entry.Caller, entry.Hop > 0} }

// share is one caller's part of the queue.
type share struct {
	key      shareKey
	waiting  []Entry // by deadline
	deficit  time.Duration
	inFlight int
}

// shares is a deficit round robin over callers, in server time: a share pays
// the expected busy time when it is granted a place, and the difference to the
// real one when it gives the place back. Within a share the earliest deadline
// goes first. Nested entries go before the others; see turns.
type shares struct {
	byKey      map[shareKey]*share
	ring       []*share // those with waiting entries
	cursor     int
	queued     int
	precedence precedence
}

func newShares() shares { return shares{byKey: map[shareKey]*share{}} }

// shareFor returns the share of an entry, made if need be.
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

// insertPosition is how many of the share's entries go before one with that deadline.
func (s *share) insertPosition(deadline time.Time) int {
	return sort.Search(len(s.waiting), func(i int) bool {
		return s.waiting[i].Deadline.After(deadline)
	})
}

// position estimates how many entries would be granted before a new one: those
// of its own share with earlier deadlines, as many rounds of the others of its
// kind, and what the other kind gets meanwhile.
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

// next takes the next entry of the round robin; the queue must not be empty. A
// share without credit gets a quantum for its next turn and is passed over.
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

// removeAt removes a waiting entry of a share. A share that has nothing more to
// wait for leaves the ring and loses its credit.
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

// finish ends one request of a share and charges what it took beyond what it
// paid.
func (s *shares) finish(owner *share, difference, quantum time.Duration) {
	owner.inFlight--
	owner.deficit = max(owner.deficit-difference, -maxRounds*quantum)
	owner.deficit = min(owner.deficit, quantum)
	s.dropIfIdle(owner)
}

// dropIfIdle forgets a share without entries and requests in flight.
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

// evict chooses what a full queue gives up for a new entry: the latest
// deadline of the longest share if that is longer than the new entry's would
// be, else a later deadline of the same caller. It is false when there is none:
// then the new entry itself has to go.
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

// filter keeps the entries that keep says yes to, asked round by round, the
// nested ones first.
func (s *shares) filter(keep func(Entry) bool) {
	var drop []Entry
	for _, nested := range []bool{true, false} {
		drop = append(drop, s.rejectedBy(nested, keep)...)
	}
	for _, entry := range drop {
		s.remove(entry)
	}
}

// rejectedBy lists the entries of one kind that keep says no to.
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
