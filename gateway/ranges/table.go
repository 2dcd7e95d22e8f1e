// Package ranges decides which server owns which keys of a keyed service. The
// key space is divided into ranges; each has one owner, a fencing token, and a hold
// that the lessor renews. The package has no I/O and no clock: times are passed as
// arguments, and what must be sent or stored is returned to the caller.
//
// Every key has at most one owner because of these rules:
//
//  1. The table of ranges is changed only by an append that is conditional on the
//     offset, so all changes are totally ordered. The fence of a changed range is
//     the offset of that append: unique and increasing, also when the store comes back
//     from a copy, since offsets of a later era are above all of earlier ones.
//  2. A range is granted to a server only after the append that names it the
//     owner is known to have succeeded.
//  3. A range changes its owner only after the owner has answered a release
//     that no grant can follow, or after every grant that may have reached it
//     has expired.
//  4. A lessor renews for Timing.GrantPeriod after it last confirmed its lease in
//     the store. A new lessor grants all ranges again, under higher fences, to
//     their present owners, which then reject the previous lessor. For an owner
//     that does not respond it waits for the grant period and the hold.
package ranges

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Key is a key of a keyed service.
type Key int

// LastKey is the greatest key; the least is 0.
const LastKey Key = 65535

// Fence is the fencing token of a range. A server rejects a grant whose fence is lower than
// one that it has seen on one of the keys.
type Fence int64

// Span is a range of keys; both ends are inclusive.
type Span struct {
	From Key `json:"from"`
	To   Key `json:"to"`
}

// Contains reports whether a key is in the span.
func (s Span) Contains(key Key) bool { return s.From <= key && key <= s.To }

// Compare returns -1 if the span is below a key, 1 if it is above it, and 0 if it contains
// the key.
func (s Span) Compare(key Key) int {
	switch {
	case s.To < key:
		return -1
	case s.From > key:
		return 1
	}
	return 0
}

// Keys returns the number of keys.
func (s Span) Keys() int { return int(s.To-s.From) + 1 }

// Assignment assigns a range to an owner.
type Assignment struct {
	Span
	Server site.ServerID `json:"server"` // empty: the range has no owner
	Fence  Fence         `json:"fence"`
	// Handover is what the previous owner returned with its release. With it the new owner
	// serves the keys without a warm-up.
	Handover string `json:"handover,omitempty"`
}

// Lessor identifies the incarnation of a node that may change the table and grant ranges.
type Lessor struct {
	Node    string `json:"node"`
	Boot    string `json:"boot"`
	Address string `json:"address"` // where other nodes reach it
}

// Table is the state that must survive the nodes: the lessor and every assignment. The
// assignments of a service are sorted by key and cover all keys.
type Table struct {
	Lessor   Lessor                            `json:"lessor"`
	Services map[site.ServiceName][]Assignment `json:"services"`
	Serial   uint64                            `json:"serial"` // distinguishes the lessor's records
	// Era is the era of the store in which the record was written; nil: not reported. A record of an earlier era
	// than the store's comes from a copy: later ones may be gone.
	Era *store.Era `json:"era,omitempty"`
	// PreviousMs is how long after the record grants of earlier lessors may be in force, in
	// milliseconds; nil: not reported.
	PreviousMs *int64 `json:"formerMs,omitempty"`
}

// Owner returns the assignment that contains a key.
func (t *Table) Owner(service site.ServiceName, key Key) (Assignment, bool) {
	return find(t.Services[service], key)
}

// Ranges returns the number of ranges of all services.
func (t *Table) Ranges() int {
	count := 0
	for _, assignments := range t.Services {
		count += len(assignments)
	}
	return count
}

func find(assignments []Assignment, key Key) (Assignment, bool) {
	i, found := slices.BinarySearchFunc(assignments, key, func(a Assignment, key Key) int { return a.Compare(key) })
	if !found {
		return Assignment{}, false
	}
	return assignments[i], true
}

// Refenced returns the table that a new lessor writes at an offset: the owners stay, every
// fence is raised, and adjacent ranges of one owner with the same handover are merged.
func (t *Table) Refenced(lessor Lessor, fence Fence) *Table {
	next := &Table{Lessor: lessor, Services: make(map[site.ServiceName][]Assignment, len(t.Services))}
	for service, assignments := range t.Services {
		next.Services[service] = refenced(assignments, fence)
	}
	return next
}

func refenced(assignments []Assignment, fence Fence) []Assignment {
	var merged []Assignment
	for _, a := range assignments {
		a.Fence = fence
		last := len(merged) - 1
		if last >= 0 && merged[last].Server == a.Server && merged[last].Handover == a.Handover {
			merged[last].To = a.To
			continue
		}
		merged = append(merged, a)
	}
	return merged
}

// Grant gives a server ownership of a range for the duration of a hold.
type Grant struct {
	Assignment
	Hold Hold
}
