package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// worldCopies is the state of a simulated store that comes back from a copy now and then.
type worldCopies struct {
	areOn     bool
	era       store.Era
	returnsAt time.Time // while the store is away; zero: it is not
	lag       time.Duration
	reissues  int
}

// copyKnowledge is what a simulated node knows of the store's eras.
type copyKnowledge struct {
	era           store.Era // as of its latest read
	eraObservedAt time.Time
	hasRead       bool
	known         *Table // the newest table that it has read, written at knownAt
	knownAt       store.Offset
	reissueSince  time.Time // when the lessor noticed a new era; zero: it has not
}

// Bounds of simulated copies.
const (
	copyInterval = 15 * time.Second
	maxCopyAway  = 3 * time.Second
	maxCopyLag   = 6 * time.Second
)

// restoreCopy takes the store away now and then, and lets it return from a copy.
func (w *world) restoreCopy() {
	c := &w.copies
	switch {
	case !c.areOn:
	case !c.returnsAt.IsZero() && !w.now.Before(c.returnsAt):
		kept := 0
		for kept < len(w.records) && w.now.Sub(w.records[kept].at) > c.lag {
			kept++
		}
		w.records = w.records[:kept:kept]
		c.returnsAt = time.Time{}
		c.era++
	case c.returnsAt.IsZero() && w.occurs(copyInterval):
		c.returnsAt = w.randomTime(maxCopyAway)
		c.lag = time.Duration(w.random.Int64N(int64(maxCopyLag)))
	}
}

func (w *world) reachesStore(n *worldNode) bool {
	return !w.now.Before(n.storeLostUntil) && w.copies.returnsAt.IsZero()
}

func (w *world) end() store.Offset { return store.At(w.copies.era, int64(len(w.records))) }

// fence returns the fence of a change at an offset.
func (w *world) fence(at store.Offset) Fence {
	if w.rules.noEraInFence {
		return Fence(at.Place())
	}
	return Fence(at)
}

func (w *world) observeEra(n *worldNode) {
	if !n.hasRead || n.era != w.copies.era {
		n.hasRead, n.era, n.eraObservedAt = true, w.copies.era, w.now
	}
}

// newestTable returns the newest table that a node knows, and the one before it in the store.
func (w *world) newestTable(n *worldNode) (table, older *Table) {
	table, older = &Table{}, &Table{}
	for place, r := range w.records {
		if r.table == nil {
			continue
		}
		older, table = table, r.table
		if at := store.At(r.era, int64(place)); n.known == nil || at >= n.knownAt {
			n.known, n.knownAt = r.table, at
		}
	}
	if n.known != nil {
		table = n.known
	}
	return table, older
}

// awaitsHolds reports whether grants of the era before may still be in force, as package duty does.
func (w *world) awaitsHolds(n *worldNode) bool {
	isFromCopy := n.known != nil && n.knownAt.Era() < w.copies.era || n.known == nil && w.copies.era > 0
	return isFromCopy && !w.rules.noCopyWait && w.now.Sub(n.eraObservedAt) < w.timing.PreviousHold()
}

// beginReissue handles an append of a lessor under an offset of an era that has ended.
func (w *world) beginReissue(n *worldNode) {
	for _, r := range w.records {
		if r.table != nil && r.era == w.copies.era {
			n.endLease()
			return
		}
	}
	n.discardPlan()
	n.resignAt = time.Time{}
	n.reissueSince = w.now
	n.end = Fence(w.end())
}

// continueReissue writes the table again when no other node can have taken over.
func (w *world) continueReissue(n *worldNode) {
	proof := n.allocator.AcceptedSince(n.reissueSince)
	if proof.Fenced || w.now.Sub(n.confirmedAt) >= w.timing.GrantPeriod {
		n.endLease()
		return
	}
	if !w.rules.noTakeoverProof && n.reissueSince.Sub(n.confirmedAt) >= 1200*time.Millisecond && !proof.IsComplete() {
		return
	}
	record := worldRecord{node: n.id, previousHold: n.allocator.PreviousHeldFor(w.now)}
	change := n.allocator.Reissue(w.fence(store.Offset(n.end)), w.now)
	record.table = change.Table
	done, conflict := w.append(n, n.end, record)
	switch {
	case conflict:
		n.endLease()
	case done:
		n.reissueSince = time.Time{}
		w.copies.reissues++
		w.confirmed(n, change, record)
	case n.allocator != nil:
		n.discardPlan()
	}
}

func (n *worldNode) endLease() {
	n.allocator, n.resignAt, n.reissueSince = nil, time.Time{}, time.Time{}
}
