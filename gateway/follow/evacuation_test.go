package follow

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func evacuationRecord(offset store.Offset, zone, value string) store.Record {
	return store.Record{Offset: offset, Key: "evacuate/" + zone, Value: []byte(value)}
}

// A zone is evacuated while its record exists. The record may be removed while the node does
// not read, and is then missing in a snapshot.
func TestZonesAreEvacuatedWhileTheirRecordExists(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := &Reader{Codec: jsonCodec{}, State: view.NewState(), Logger: hclog.NewNullLogger()}
	zones := evacuatedZones{}
	apply := func(isSnapshot bool, next store.Offset, records ...store.Record) []string {
		reader.applyEvacuations(zones, store.Batch{Records: records, Next: next, End: next}, isSnapshot)
		return reader.State.Now().Evacuation.Zones()
	}
	g.Expect(apply(true, 4, evacuationRecord(1, "a", "{}"))).To(gomega.Equal([]string{"a"}))
	g.Expect(apply(false, 5)).To(gomega.Equal([]string{"a"}))
	g.Expect(apply(false, 7, evacuationRecord(5, "b", "{}"), evacuationRecord(6, "a", ""))).To(gomega.Equal([]string{"b"}))
	g.Expect(apply(true, 9)).To(gomega.BeEmpty())
}

// Nodes that do not read the store get the evacuated zones from the node that they follow.
func TestEvacuatedZonesAreSentToFollowersThatLackThem(t *testing.T) {
	g := gomega.NewWithT(t)
	state := view.NewState()
	state.MergeEvacuation(5, []string{"a"})
	message := evacuationMessage(state.Now(), &bspb.FollowRequest{EvacuationOffset: 4})
	g.Expect(message.Zones).To(gomega.Equal([]string{"a"}))
	g.Expect(message.Offset).To(gomega.Equal(int64(5)))
	g.Expect(evacuationMessage(state.Now(), &bspb.FollowRequest{EvacuationOffset: 5})).To(gomega.BeNil())
}
