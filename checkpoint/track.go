package checkpoint

import (
	"bytes"
	"crypto/sha256"
	"hash"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Tracker detects complete checkpoints in the log without storing their data. It
// accepts chunks only in index order, the order in which writers append them. The
// zero value is ready to use.
type Tracker struct {
	open []*openCheckpoint // oldest first
}

type openCheckpoint struct {
	info Info
	next uint32
	sum  hash.Hash
}

// Add adds the chunk at offset. It returns the checkpoint that the chunk completes,
// and whether there is one.
func (t *Tracker) Add(offset topo.Offset, chunk *bspb.CheckpointChunk) (Info, bool) {
	if checkChunk(chunk) != nil {
		return Info{}, false
	}
	c := t.find(offset, chunk)
	if c == nil || c.next != chunk.GetIndex() {
		return Info{}, false
	}
	c.sum.Write(chunk.GetData())
	c.next++
	c.info.Bytes += len(chunk.GetData())
	if c.next < chunk.GetCount() {
		return Info{}, false
	}
	t.remove(c)
	c.info.LastChunk = offset
	return c.info, bytes.Equal(c.sum.Sum(nil), c.info.Digest)
}

// find returns the open checkpoint of a chunk, creating it for the first chunk. It
// returns nil if the first chunk is missing.
func (t *Tracker) find(offset topo.Offset, chunk *bspb.CheckpointChunk) *openCheckpoint {
	for _, c := range t.open {
		if c.info.ID == chunk.GetId() {
			return c
		}
	}
	if chunk.GetIndex() != 0 {
		return nil
	}
	if len(t.open) == maxPartial {
		t.remove(t.open[0])
	}
	c := &openCheckpoint{
		info: Info{
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

func (t *Tracker) remove(target *openCheckpoint) {
	for i, c := range t.open {
		if c == target {
			t.open = append(t.open[:i], t.open[i+1:]...)
			return
		}
	}
}
