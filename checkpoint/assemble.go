package checkpoint

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// maxPartial bounds how many incomplete checkpoints are held at once.
const maxPartial = 4

// TornError reports chunks that do not make a checkpoint.
type TornError struct {
	ID      string // may be empty
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *TornError) Error() string {
	text := fmt.Sprintf("checkpoint %q: %s", e.ID, e.Problem)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *TornError) Unwrap() error { return e.Cause }

// partial is a checkpoint of which some chunks are missing.
type partial struct {
	whole  Whole
	count  uint32
	chunks [][]byte
	held   uint32
}

// Assembler collects chunks as they are read from the log. Chunks of several
// checkpoints may be mixed, repeated, or missing. The zero value is ready.
type Assembler struct {
	partials []*partial // oldest first
}

// Add takes the chunk at offset. It returns the checkpoint and its snapshot
// when the chunk completes one, and a *TornError when it cannot belong to one;
// the checkpoint is then dropped.
func (a *Assembler) Add(offset topo.Offset, chunk *bspb.CheckpointChunk) (*Whole, *bspb.Snapshot, error) {
	if err := checkChunk(chunk); err != nil {
		return nil, nil, err
	}
	p := a.find(offset, chunk)
	if !p.matches(chunk) {
		a.drop(p)
		return nil, nil, &TornError{ID: chunk.GetId(), Problem: "chunks of different checkpoints"}
	}
	p.add(offset, chunk)
	if p.whole.Bytes > MaxSnapshotBytes {
		a.drop(p)
		return nil, nil, &TornError{ID: chunk.GetId(), Problem: "too large"}
	}
	if p.held < p.count {
		return nil, nil, nil
	}
	a.drop(p)
	snapshot, err := p.snapshot()
	if err != nil {
		return nil, nil, err
	}
	return &p.whole, snapshot, nil
}

func checkChunk(chunk *bspb.CheckpointChunk) error {
	problem := ""
	switch {
	case chunk.GetId() == "":
		problem = "no id"
	case chunk.GetCount() == 0 || chunk.GetCount() > MaxChunks:
		problem = "impossible count"
	case chunk.GetIndex() >= chunk.GetCount():
		problem = "index beyond count"
	case len(chunk.GetDigest()) != sha256.Size:
		problem = "no digest"
	}
	if problem == "" {
		return nil
	}
	return &TornError{ID: chunk.GetId(), Problem: problem}
}

func (a *Assembler) find(offset topo.Offset, chunk *bspb.CheckpointChunk) *partial {
	for _, p := range a.partials {
		if p.whole.ID == chunk.GetId() {
			return p
		}
	}
	p := &partial{
		whole: Whole{
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

func (a *Assembler) drop(gone *partial) {
	for i, p := range a.partials {
		if p == gone {
			a.partials = append(a.partials[:i], a.partials[i+1:]...)
			return
		}
	}
}

func (p *partial) matches(chunk *bspb.CheckpointChunk) bool {
	return p.count == chunk.GetCount() &&
		p.whole.Applied == topo.Offset(chunk.GetApplied()) &&
		bytes.Equal(p.whole.Digest, chunk.GetDigest())
}

func (p *partial) add(offset topo.Offset, chunk *bspb.CheckpointChunk) {
	p.whole.FirstChunk = min(p.whole.FirstChunk, offset)
	p.whole.LastChunk = max(p.whole.LastChunk, offset)
	if p.chunks[chunk.GetIndex()] != nil {
		return
	}
	data := chunk.GetData()
	if data == nil {
		data = []byte{}
	}
	p.chunks[chunk.GetIndex()] = data
	p.held++
	p.whole.Bytes += len(data)
}

func (p *partial) snapshot() (*bspb.Snapshot, error) {
	data := bytes.Join(p.chunks, nil)
	digest := sha256.Sum256(data)
	if !bytes.Equal(digest[:], p.whole.Digest) {
		return nil, &TornError{ID: p.whole.ID, Problem: "digest differs"}
	}
	snapshot, err := decompress(data)
	if err != nil {
		return nil, err
	}
	if topo.Offset(snapshot.GetApplied()) != p.whole.Applied {
		return nil, &TornError{ID: p.whole.ID, Problem: "offset differs"}
	}
	return snapshot, nil
}

// Join assembles chunks that arrived outside the log, such as from a peer. It
// fails with a *TornError unless they make exactly one checkpoint.
func Join(chunks []*bspb.CheckpointChunk) (*bspb.Snapshot, error) {
	var assembler Assembler
	for i, chunk := range chunks {
		whole, snapshot, err := assembler.Add(topo.Offset(i+1), chunk)
		if err != nil {
			return nil, err
		}
		if whole != nil && i == len(chunks)-1 {
			return snapshot, nil
		}
	}
	return nil, &TornError{Problem: "incomplete"}
}
