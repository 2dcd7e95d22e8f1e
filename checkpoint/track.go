package checkpoint

import (
	"bytes"
	"crypto/sha256"
	"hash"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Tracker notices whole checkpoints in the log without holding their data. It
// counts only chunks that come in index order, as writers append them. The zero
// value is ready.
type Tracker struct {
	open []*openCheckpoint // oldest first
}

type openCheckpoint struct {
	whole Whole
	next  uint32
	sum   hash.Hash
}

// Add takes the chunk at offset and returns the checkpoint that it completes.
func (t *Tracker) Add(offset topo.Offset, chunk *bspb.CheckpointChunk) (Whole, bool) {
	if checkChunk(chunk) != nil {
		return Whole{}, false
	}
	c := t.find(offset, chunk)
	if c == nil || c.next != chunk.GetIndex() {
		return Whole{}, false
	}
	c.sum.Write(chunk.GetData())
	c.next++
	c.whole.Bytes += len(chunk.GetData())
	if c.next < chunk.GetCount() {
		return Whole{}, false
	}
	t.close(c)
	c.whole.LastChunk = offset
	return c.whole, bytes.Equal(c.sum.Sum(nil), c.whole.Digest)
}

// find returns the open checkpoint of a chunk; nil when its beginning is
// missing.
func (t *Tracker) find(offset topo.Offset, chunk *bspb.CheckpointChunk) *openCheckpoint {
	for _, c := range t.open {
		if c.whole.ID == chunk.GetId() {
			return c
		}
	}
	if chunk.GetIndex() != 0 {
		return nil
	}
	if len(t.open) == maxPartial {
		t.close(t.open[0])
	}
	c := &openCheckpoint{
		whole: Whole{
			ID:         chunk.GetId(),
			Applied:    topo.Offset(chunk.GetApplied()),
			FirstChunk: offset,
			Digest:     chunk.GetDigest(),
		},
		sum: sha256.New(),
	}
	t.open = append(t.open, c)
	return c
}

func (t *Tracker) close(gone *openCheckpoint) {
	for i, c := range t.open {
		if c == gone {
			t.open = append(t.open[:i], t.open[i+1:]...)
			return
		}
	}
}
