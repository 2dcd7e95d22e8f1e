package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Any snapshot either restores to an equal state or fails with a typed error.
func FuzzRestore(f *testing.F) {
	f.Add([]byte{})
	data, err := proto.Marshal(New().Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	full, err := proto.Marshal(&bspb.Snapshot{
		Format: 1, Applied: 3, SiteVersion: 1,
		Site:    &bspb.SiteConfig{Services: []*bspb.ServiceConfig{{Name: "w", Keyed: true, Shards: 1}}},
		Nodes:   []*bspb.JoinNode{{Node: "n", Boot: "b"}},
		Servers: []*bspb.ServerEntry{{Id: "s", Service: "w", Phase: 1}},
		Shards: []*bspb.ShardEntry{
			{Shard: &bspb.ShardRef{Service: "w"}, Owner: "s", Fence: &bspb.Ordinal{Offset: 2}},
			{Shard: &bspb.ShardRef{Service: "w", Key: "k"}},
		},
		Writers:   []*bspb.WriterEntry{{Writer: "n@b", Sequence: 2}},
		LostNodes: []string{"n@b"},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(full)
	f.Fuzz(func(t *testing.T, data []byte) {
		received := &bspb.Snapshot{}
		if proto.Unmarshal(data, received) != nil {
			return
		}
		restored, err := Restore(received)
		if err != nil {
			return
		}
		once := restored.Snapshot()
		again, err := Restore(once)
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(once, again.Snapshot()) {
			t.Fatalf("%v became %v", once, again.Snapshot())
		}
	})
}
