package checkpoint

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// maxPartial bounds the incomplete checkpoints tracked at the same time.
const maxPartial = 4

// DamagedError reports chunks that do not form a valid checkpoint.
type DamagedError struct {
	ID      string // may be empty
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *DamagedError) Error() string {
	text := fmt.Sprintf("checkpoint %q: %s", e.ID, e.Problem)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// partialCheckpoint is a checkpoint with missing chunks.
type partialCheckpoint struct {
	info     Info
	count    uint32
	chunks   [][]byte
	received uint32
}

// Assembler assembles checkpoints from chunks in the order in which they are read
// from the log. Chunks of several checkpoints may be interleaved, repeated, or
// missing. The zero value is ready to use.
type Assembler struct {
	partials []*partialCheckpoint // oldest first
}

// Add adds the chunk at offset. It returns the checkpoint and its snapshot if the
// chunk completes one, and a *DamagedError if the chunk is invalid, contradicts its
// checkpoint, makes it too large, or completes a damaged one. The checkpoint is
// dropped then, unless the chunk itself is invalid.
func (a *Assembler) Add(offset topo.Offset, chunk *bspb.CheckpointChunk) (*Info, *bspb.Snapshot, error) {
	if err := checkChunk(chunk); err != nil {
		return nil, nil, err
	}
	p := a.find(offset, chunk)
	if !p.matches(chunk) {
		a.drop(p)
		return nil, nil, &DamagedError{ID: chunk.GetId(), Problem: "chunks of different checkpoints have the same id"}
	}
	p.add(offset, chunk)
	if p.info.Bytes > MaxSnapshotBytes {
		a.drop(p)
		return nil, nil, &DamagedError{ID: chunk.GetId(), Problem: "too large"}
	}
	if p.received < p.count {
		return nil, nil, nil
	}
	a.drop(p)
	snapshot, err := p.snapshot()
	if err != nil {
		return nil, nil, err
	}
	return &p.info, snapshot, nil
}

func checkChunk(chunk *bspb.CheckpointChunk) error {
	problem := ""
	switch {
	case chunk.GetId() == "":
		problem = "no id"
	case chunk.GetCount() == 0 || chunk.GetCount() > MaxChunks:
		problem = "chunk count out of range"
	case chunk.GetIndex() >= chunk.GetCount():
		problem = "chunk index out of range"
	case len(chunk.GetDigest()) != sha256.Size:
		problem = "digest is missing or has the wrong length"
	}
	if problem == "" {
		return nil
	}
	return &DamagedError{ID: chunk.GetId(), Problem: problem}
}

func (a *Assembler) find(offset topo.Offset, chunk *bspb.CheckpointChunk) *partialCheckpoint {
	for _, p := range a.partials {
		if p.info.ID == chunk.GetId() {
			return p
		}
	}
	p := &partialCheckpoint{
		info: Info{
			ID:         chunk.GetId(),
			Applied:    topo.Offset(chunk.GetApplied()),
			FirstChunk: offset,
			Digest:     chunk.GetDigest(),
		},
		count:  chunk.GetCount(),
		chunks: make([][]byte, chunk.GetCount()),
	}
	if len(a.partials) == maxPartial {
		a.drop(a.partials[0])
	}
	a.partials = append(a.partials, p)
	return p
}

func (a *Assembler) drop(target *partialCheckpoint) {
	for i, p := range a.partials {
		if p == target {
			a.partials = append(a.partials[:i], a.partials[i+1:]...)
			return
		}
	}
}

func (p *partialCheckpoint) matches(chunk *bspb.CheckpointChunk) bool {
	return p.count == chunk.GetCount() &&
		p.info.Applied == topo.Offset(chunk.GetApplied()) &&
		bytes.Equal(p.info.Digest, chunk.GetDigest())
}

func (p *partialCheckpoint) add(offset topo.Offset, chunk *bspb.CheckpointChunk) {
	p.info.FirstChunk = min(p.info.FirstChunk, offset)
	p.info.LastChunk = max(p.info.LastChunk, offset)
	if p.chunks[chunk.GetIndex()] != nil {
		return
	}
	data := chunk.GetData()
	if data == nil {
		data = []byte{}
	}
	p.chunks[chunk.GetIndex()] = data
	p.received++
	p.info.Bytes += len(data)
}

func (p *partialCheckpoint) snapshot() (*bspb.Snapshot, error) {
	data := bytes.Join(p.chunks, nil)
	digest := sha256.Sum256(data)
	if !bytes.Equal(digest[:], p.info.Digest) {
		return nil, &DamagedError{ID: p.info.ID, Problem: "digest does not match the data"}
	}
	snapshot, err := decompress(data)
	if err != nil {
		return nil, err
	}
	if topo.Offset(snapshot.GetApplied()) != p.info.Applied {
		return nil, &DamagedError{ID: p.info.ID, Problem: "applied offset does not match the snapshot"}
	}
	return snapshot, nil
}

// Join assembles chunks that were not read from the log, such as a peer's. It
// fails with a *DamagedError unless they form exactly one checkpoint.
func Join(chunks []*bspb.CheckpointChunk) (*bspb.Snapshot, error) {
	var assembler Assembler
	for i, chunk := range chunks {
		info, snapshot, err := assembler.Add(topo.Offset(i+1), chunk)
		if err != nil {
			return nil, err
		}
		if info != nil && i == len(chunks)-1 {
			return snapshot, nil
		}
	}
	return nil, &DamagedError{Problem: "incomplete"}
}
