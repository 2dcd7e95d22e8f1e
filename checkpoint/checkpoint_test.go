package checkpoint_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func snapshot(applied uint64) *bspb.Snapshot {
	random := rand.New(rand.NewPCG(applied, 1))
	text := make([]byte, 5000)
	for i := range text {
		text[i] = byte(random.IntN(256))
	}
	return &bspb.Snapshot{Format: 1, Applied: applied, SiteText: text}
}

func split(t testing.TB, applied uint64, id string) []*bspb.CheckpointChunk {
	t.Helper()
	chunks, err := checkpoint.Split(snapshot(applied), id, 1000)
	if err != nil {
		t.Fatal(err)
	}
	return chunks
}

func TestMixedAndRepeatedChunks(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second := split(t, 7, "a/1"), split(t, 9, "b/1")
	g.Expect(len(first)).To(gomega.BeNumerically(">=", 3))
	var assembler checkpoint.Assembler
	var tracker checkpoint.Tracker
	var got []uint64
	offset := topo.Offset(100)
	add := func(chunk *bspb.CheckpointChunk) {
		info, complete, err := assembler.Add(offset, chunk)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		tracked, isComplete := tracker.Add(offset, chunk)
		g.Expect(isComplete).To(gomega.Equal(info != nil))
		if info != nil {
			g.Expect(tracked).To(gomega.Equal(*info))
			g.Expect(info.LastChunk).To(gomega.Equal(offset))
			g.Expect(proto.Equal(complete, snapshot(complete.GetApplied()))).To(gomega.BeTrue())
			got = append(got, complete.GetApplied())
		}
		offset++
	}
	add(first[0])
	for i := range second {
		add(second[i])
		if i+1 < len(first) {
			add(first[i+1])
			if i+2 < len(first) {
				add(first[i+1])
			}
		}
	}
	g.Expect(got).To(gomega.ConsistOf(uint64(7), uint64(9)))
}

func TestDamagedCheckpointIsNeverUsed(t *testing.T) {
	cases := []struct {
		name string
		tear func([]*bspb.CheckpointChunk) []*bspb.CheckpointChunk
	}{
		{"last chunk missing", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { return c[:len(c)-1] }},
		{"first chunk missing", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { return c[1:] }},
		{"data changed", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { c[1].Data[0] ^= 1; return c }},
		{"data truncated", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { c[1].Data = c[1].Data[1:]; return c }},
		{"another digest", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk {
			c[1].Digest = make([]byte, 32)
			return c
		}},
		{"another offset", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { c[1].Applied++; return c }},
		{"another offset in all chunks", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk {
			for _, chunk := range c {
				chunk.Applied++
			}
			return c
		}},
		{"count too high", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk {
			c[0].Count = checkpoint.MaxChunks + 1
			return c
		}},
		{"index too high", func(c []*bspb.CheckpointChunk) []*bspb.CheckpointChunk {
			c[0].Index = c[0].Count
			return c
		}},
		{"none", func([]*bspb.CheckpointChunk) []*bspb.CheckpointChunk { return nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := checkpoint.Join(c.tear(split(t, 7, "a/1")))
			var damaged *checkpoint.DamagedError
			g.Expect(errors.As(err, &damaged)).To(gomega.BeTrue())
		})
	}
}

func TestIncompleteCheckpointsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var assembler checkpoint.Assembler
	for i := range 100 {
		_, _, err := assembler.Add(1, split(t, 7, "torn/"+string(rune('a'+i)))[0])
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	var info *checkpoint.Info
	for _, chunk := range split(t, 8, "whole") {
		info, _, _ = assembler.Add(2, chunk)
	}
	g.Expect(info).NotTo(gomega.BeNil())
}

// Arbitrary chunks form a snapshot or fail with a typed error, and the snapshot
// can be restored or fails with a typed error.
func FuzzChunks(f *testing.F) {
	chunks, err := checkpoint.Split(state.New().Snapshot(), "a/1", 16)
	if err != nil {
		f.Fatal(err)
	}
	var encoded [][]byte
	for _, chunk := range chunks {
		data, err := proto.Marshal(chunk)
		if err != nil {
			f.Fatal(err)
		}
		encoded = append(encoded, data)
	}
	f.Add(encoded[0], encoded[1])
	f.Add(encoded[1], encoded[0])
	f.Add(encoded[0], []byte{})
	f.Add([]byte{0xff}, encoded[0])
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var received []*bspb.CheckpointChunk
		for _, data := range [][]byte{first, second} {
			chunk := &bspb.CheckpointChunk{}
			if proto.Unmarshal(data, chunk) == nil {
				received = append(received, chunk)
			}
		}
		joined, err := checkpoint.Join(received)
		var damaged *checkpoint.DamagedError
		if err != nil {
			if !errors.As(err, &damaged) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		var invalid *state.SnapshotError
		if _, err := state.Restore(joined); err != nil && !errors.As(err, &invalid) {
			t.Fatalf("untyped error: %v", err)
		}
	})
}
