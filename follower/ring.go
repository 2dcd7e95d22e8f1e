package follower

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// ring keeps the most recently applied entries for peers to read. Its entries have
// consecutive offsets. It is safe for concurrent use.
type ring struct {
	mu         sync.Mutex
	maxEntries int
	maxBytes   int
	entries    []platlog.Entry
	bytes      int
}

func newRing(maxEntries, maxBytes int) *ring {
	return &ring{maxEntries: maxEntries, maxBytes: maxBytes}
}

// add appends the next entry and drops the oldest ones beyond the bounds. The
// newest entry stays, however large it is.
func (r *ring) add(entry platlog.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry)
	r.bytes += len(entry.Data)
	for len(r.entries) > r.maxEntries || r.bytes > r.maxBytes && len(r.entries) > 1 {
		r.bytes -= len(r.entries[0].Data)
		r.entries[0] = platlog.Entry{}
		r.entries = r.entries[1:]
	}
}

// clear drops all entries, after the state was replaced.
func (r *ring) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = nil
	r.bytes = 0
}

// read returns entries from an offset on, and the lowest offset in the ring, or 0
// if the ring is empty.
func (r *ring) read(from topo.Offset, limit int) (entries []platlog.Entry, first topo.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return nil, 0
	}
	first = r.entries[0].Offset
	if from < first {
		return nil, first
	}
	skip := int(min(uint64(from-first), uint64(len(r.entries))))
	rest := r.entries[skip:]
	rest = rest[:min(limit, len(rest))]
	return append([]platlog.Entry(nil), rest...), first
}
