// Package ranges decides which server owns which keys of a keyed service. The
// key space is cut into ranges; each has one owner, a fencing token, and a hold
// that the lessor renews. The package has no I/O and no clock: times come in as
// arguments, and what is to be sent or stored comes out as actions.
//
// Ownership is sole by these rules:
//
//  1. The table of ranges is changed only by an append on the condition of the
//     offset, so all changes are in one order. The fence of a changed range is
//     the offset of that append: unique and growing.
//  2. A range is granted to a server only after the append that names it the
//     owner is known to have succeeded.
//  3. A range changes its owner only after the owner has answered a release
//     that no grant can follow, or after every grant that may have reached it
//     has run out.
//  4. A lessor renews for Timing.Right after it last confirmed its lease in
//     the store. A new lessor grants all ranges anew, under higher fences, to
//     their present owners, which refuse the former lessor from then on; for an
//     owner that does not answer it waits for that right and the hold.
package ranges

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Key is a key of a keyed service.
type Key int

// LastKey is the greatest key; the least is 0.
const LastKey Key = 65535

// Fence is the fencing token of a range. A server refuses a grant whose fence
// is lower than one that it has seen on one of the keys.
type Fence int64

// Span is a range of keys, both ends included.
type Span struct {
	From Key `json:"from"`
	To   Key `json:"to"`
}

// Contains reports whether a key is in the span.
func (s Span) Contains(key Key) bool { return s.From <= key && key <= s.To }

// Compare returns -1 if the span lies before a key, 1 if it lies after it, and 0 if
// it contains the key.
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

// Assignment gives a range to an owner.
type Assignment struct {
	Span
	Server site.ServerID `json:"server"` // empty: nobody owns the range
	Fence  Fence         `json:"fence"`
	// Handover is what the former owner gave with its release. With it the new
	// owner serves the keys without a warm-up.
	Handover string `json:"handover,omitempty"`
}

// Lessor is the run of a node that may change the table and grants ranges.
type Lessor struct {
	Node    string `json:"node"`
	Boot    string `json:"boot"`
	Address string `json:"address"` // where other nodes reach it
}

// Table is all that must outlast the nodes: the lessor and every assignment.
// The assignments of a service are in order and cover all keys.
type Table struct {
	Lessor   Lessor                            `json:"lessor"`
	Services map[site.ServiceName][]Assignment `json:"services"`
	Serial   uint64                            `json:"serial"` // tells the lessor's records apart
	// FormerMs is for how long after the record grants of lessors before this one may be in
	// force; nil: not told.
	FormerMs *int64 `json:"formerMs,omitempty"`
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

// Refenced returns the table as a new lessor writes it at an offset: the owners
// stay, every fence is raised, and neighbours of one owner become one range.
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

// Grant tells a server that it owns a range for a while.
type Grant struct {
	Assignment
	Hold Hold
}
