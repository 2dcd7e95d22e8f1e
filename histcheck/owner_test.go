package histcheck

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

func TestRunsOfARevokedShard(t *testing.T) {
	shard := topo.ShardID{Service: "s", Index: 1}
	ofKey := shard
	ofKey.Key = "k"
	fence := topo.MakeFence(1, 0)
	granted := history.OwnerInterval{Server: "s1", Boot: "b", Shard: shard, Fence: fence, From: 1, Until: 10}
	inFlight := history.OwnerInterval{Server: "s1", Boot: "b", Shard: ofKey, Fence: fence, From: 10, Until: 20}
	next := history.OwnerInterval{Server: "s2", Boot: "b", Shard: shard, Fence: topo.MakeFence(2, 0), From: 15, Until: 30}
	run := func(at history.Time, key string) []history.Event {
		return []history.Event{
			history.RunBegan{At: at, Server: "s1", Boot: "b", RequestID: "r", Service: "s", Shard: shard, Fence: fence, Key: key, Method: "GET"},
			history.RunEnded{At: at + 1, Server: "s1", Boot: "b", RequestID: "r", Committed: true},
		}
	}
	cases := map[string]struct {
		spans []history.Event
		run   []history.Event
		found int
	}{
		"while granted":                         {[]history.Event{granted}, run(5, "k"), 0},
		"in flight when it was revoked":         {[]history.Event{granted, inFlight}, run(12, "k"), 0},
		"another key after it was revoked":      {[]history.Event{granted, inFlight}, run(12, "l"), 1},
		"after the run in flight ended":         {[]history.Event{granted, inFlight}, run(25, "k"), 1},
		"next owner before the key is released": {[]history.Event{granted, inFlight, next}, run(12, "k"), 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			events := slices.Concat(tc.spans, tc.run)
			history.SortEvents(events)
			gomega.NewWithT(t).Expect(SoleOwner(events)).To(gomega.HaveLen(tc.found))
		})
	}
}
