package hotkeys

import "github.com/burdockspindle/burdockspindle/topo"

// counter holds the decayed count of one key.
type counter struct {
	id       topo.ShardID
	count    float64 // never below the key's true count
	err      float64 // how much of count may belong to other keys
	busy     float64 // weighted seconds of service since admission
	position int     // in the heap
}

// entry converts the counter to rates. Busy time is known only for the
// observations since admission, so it is extended to the certain part of the
// rate and no further.
func (c *counter) entry(scale float64) Entry {
	return Entry{
		ID:             c.id,
		PerSecond:      c.count * scale,
		ErrorPerSecond: c.err * scale,
		Load:           c.busy * scale,
	}
}

// counterHeap is a binary heap with the smallest count first. It is written out
// rather than built on container/heap because it runs once for each request.
type counterHeap []*counter

// sink moves a counter whose count grew away from the front.
func (h counterHeap) sink(at int) {
	for {
		child := 2*at + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].count < h[child].count {
			child++
		}
		if h[at].count <= h[child].count {
			return
		}
		h.swap(at, child)
		at = child
	}
}

// rise moves a new counter towards the front.
func (h counterHeap) rise(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if h[parent].count <= h[at].count {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h counterHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}
