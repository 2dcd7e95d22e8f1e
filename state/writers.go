package state

import "container/list"

// maxInactiveWriters is the number of remembered writers that are not the
// current incarnation of a node. At 170 restarts a day it covers six days, far
// longer than an append can be in flight.
const maxInactiveWriters = 1024

// writerTable stores the last sequence applied for each writer, in order of the
// writers' last records, the oldest first. Current incarnations of nodes are
// never evicted; of the others the most recent maxInactiveWriters are kept.
type writerTable struct {
	order   *list.List // of *writerEntry
	entries map[string]*list.Element
}

type writerEntry struct {
	writer   string
	sequence uint64
}

func newWriterTable() *writerTable {
	return &writerTable{order: list.New(), entries: map[string]*list.Element{}}
}

// lastSequence returns the last sequence applied for a writer; 0 for none.
func (w *writerTable) lastSequence(writer string) uint64 {
	if element, exists := w.entries[writer]; exists {
		return element.Value.(*writerEntry).sequence
	}
	return 0
}

// record stores a sequence as applied.
func (w *writerTable) record(writer string, sequence uint64) {
	element, exists := w.entries[writer]
	if !exists {
		element = w.order.PushBack(&writerEntry{writer: writer})
		w.entries[writer] = element
	}
	element.Value.(*writerEntry).sequence = sequence
	w.order.MoveToBack(element)
}

// prune evicts the writers beyond limit that are not current, those with the
// oldest records first.
func (w *writerTable) prune(limit int, current func(writer string) bool) {
	for element := w.order.Front(); element != nil && len(w.entries) > limit; {
		next := element.Next()
		entry := element.Value.(*writerEntry)
		if !current(entry.writer) {
			w.order.Remove(element)
			delete(w.entries, entry.writer)
		}
		element = next
	}
}

// each visits the entries in order of the writers' last records, the oldest
// first.
func (w *writerTable) each(visit func(writerEntry)) {
	for element := w.order.Front(); element != nil; element = element.Next() {
		visit(*element.Value.(*writerEntry))
	}
}
