// Package checkpoint splits a snapshot of the state into chunks that fit into the
// log's records, and assembles complete sets of chunks into a snapshot. It rejects
// sets that are incomplete, mixed or damaged. The package does no I/O.
package checkpoint

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// ChunkBytes is the maximum data size of the chunks that this release writes.
	ChunkBytes = 256 << 10
	// MaxChunks bounds the chunks of one checkpoint.
	MaxChunks = 4096
	// MaxSnapshotBytes bounds the encoded snapshot, before and after compression.
	MaxSnapshotBytes = 256 << 20
)

// EncodeError reports a snapshot that cannot be encoded or split.
type EncodeError struct {
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *EncodeError) Error() string {
	if e.Cause == nil {
		return "checkpoint: " + e.Problem
	}
	return fmt.Sprintf("checkpoint: %s: %v", e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// Split encodes a snapshot as chunks of at most chunkBytes of data each. The id
// must be unique to this checkpoint. It fails with an *EncodeError.
func Split(snapshot *bspb.Snapshot, id string, chunkBytes int) ([]*bspb.CheckpointChunk, error) {
	data, err := compress(snapshot)
	if err != nil {
		return nil, err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	if count > MaxChunks {
		return nil, &EncodeError{Problem: "too many chunks"}
	}
	digest := sha256.Sum256(data)
	chunks := make([]*bspb.CheckpointChunk, 0, count)
	for index := range count {
		first := index * chunkBytes
		chunks = append(chunks, &bspb.CheckpointChunk{
			Applied: snapshot.GetApplied(),
			Id:      id,
			Index:   uint32(index),
			Count:   uint32(count),
			Data:    data[first:min(first+chunkBytes, len(data))],
			Digest:  digest[:],
		})
	}
	return chunks, nil
}

func compress(snapshot *bspb.Snapshot) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, &EncodeError{Problem: "cannot encode", Cause: err}
	}
	if len(raw) > MaxSnapshotBytes {
		return nil, &EncodeError{Problem: "snapshot too large"}
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, &EncodeError{Problem: "cannot compress", Cause: err}
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, &EncodeError{Problem: "cannot compress", Cause: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &EncodeError{Problem: "cannot compress", Cause: err}
	}
	return compressed.Bytes(), nil
}

func decompress(data []byte) (*bspb.Snapshot, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &DamagedError{Problem: "cannot decompress", Cause: err}
	}
	raw, err := io.ReadAll(io.LimitReader(reader, MaxSnapshotBytes+1))
	if err != nil {
		return nil, &DamagedError{Problem: "cannot decompress", Cause: err}
	}
	if len(raw) > MaxSnapshotBytes {
		return nil, &DamagedError{Problem: "snapshot too large"}
	}
	snapshot := &bspb.Snapshot{}
	if err := proto.Unmarshal(raw, snapshot); err != nil {
		return nil, &DamagedError{Problem: "cannot decode", Cause: err}
	}
	return snapshot, nil
}

// Info describes a complete checkpoint.
type Info struct {
	ID         string
	Applied    topo.Offset // last record contained in the snapshot
	FirstChunk topo.Offset // lowest offset of a chunk
	LastChunk  topo.Offset // offset of the chunk that completed it
	Digest     []byte
	Bytes      int // size of the compressed snapshot
}
