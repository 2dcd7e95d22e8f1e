package hotkeys

import "github.com/burdockspindle/burdockspindle/topo"

// counter holds the decayed count of one key.
type counter struct {
	id       topo.ShardID
	count    float64 // at least the key's true decayed count
	err      float64 // the part of count that may belong to other keys
	busy     float64 // decayed seconds of service since the key was admitted
	position int     // index in the heap
}

// entry converts the counter to rates. Load covers only the observations since
// the key was admitted, because busy times of earlier ones are unknown.
func (c *counter) entry(scale float64) Entry {
	return Entry{
		ID:             c.id,
		PerSecond:      c.count * scale,
		ErrorPerSecond: c.err * scale,
		Load:           c.busy * scale,
	}
}

// counterHeap is a binary heap with the smallest count first. It does not use
// container/heap because it is updated once for each request.
type counterHeap []*counter

// siftDown restores the heap order after the count of a counter has grown.
func (h counterHeap) siftDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].count < h[child].count {
			child++
		}
		if h[index].count <= h[child].count {
			return
		}
		h.swap(index, child)
		index = child
	}
}

// siftUp restores the heap order after a counter was appended.
func (h counterHeap) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if h[parent].count <= h[index].count {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h counterHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}
