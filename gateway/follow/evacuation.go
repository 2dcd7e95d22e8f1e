package follow

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// evacuatedZones is the set of zones with a record in the store, as of the reader's offset.
type evacuatedZones map[string]bool

// applyEvacuations applies the records that begin and end the evacuation of a zone. A snapshot
// has no record of a zone whose evacuation has ended.
func (r *Reader) applyEvacuations(zones evacuatedZones, batch store.Batch, isSnapshot bool) {
	hasRecord := isSnapshot
	if isSnapshot {
		clear(zones)
	}
	for _, record := range batch.Records {
		zone, found := r.Codec.Evacuation(record.Key)
		if !found {
			continue
		}
		hasRecord = true
		if len(record.Value) == 0 {
			delete(zones, zone)
		} else {
			zones[zone] = true
		}
	}
	if hasRecord {
		mergeEvacuation(r.State, r.Logger, batch.Next, slices.Collect(maps.Keys(zones)), "store")
	}
}

// mergeEvacuation applies the evacuated zones as of an offset if they are newer.
func mergeEvacuation(state *view.State, logger hclog.Logger, offset store.Offset, zones []string, from string) {
	if before, changed := state.MergeEvacuation(offset, zones); changed {
		eventEvacuation.Log(logger, "zones", slices.Sorted(slices.Values(zones)), "before", before, "offset", offset, "from", from)
	}
}

// evacuationMessage returns the evacuated zones of a view, or nil if the asking node has them.
func evacuationMessage(v *view.View, msg *bspb.FollowRequest) *bspb.Evacuation {
	if !newerEvacuation(v, msg) {
		return nil
	}
	return &bspb.Evacuation{Offset: int64(v.Evacuation.Offset), Zones: v.Evacuation.Zones()}
}

func newerEvacuation(v *view.View, msg *bspb.FollowRequest) bool {
	return int64(v.Evacuation.Offset) > msg.EvacuationOffset
}
