package follow

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func countCrashes(report Report) int {
	count := 0
	report.EachCrash(func(site.ServerID, quarantine.Fingerprint, quarantine.Caller) { count++ })
	return count
}

// Guards against a crash that is not reported because one call to the lessor fails.
func TestCrashesAreRepeatedInReports(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReports()
	r.NoteCrash("s", quarantine.Fingerprint{High: 1, Low: 2}, 7)
	r.NoteAnswer(quarantine.Fingerprint{High: 1, Low: 3})
	g.Expect(r.Urgent()).To(gomega.Receive())
	urgent := r.DrainUrgent()
	g.Expect(countCrashes(urgent)).To(gomega.Equal(1))
	g.Expect(urgent.Answered.GetLow()).To(gomega.Equal([]uint64{3}))
	g.Expect(r.DrainUrgent().isEmpty()).To(gomega.BeTrue())
	g.Expect(countCrashes(r.Drain())).To(gomega.Equal(1), "repeated")
}

// Guards against reports that two relays send to each other for ever.
func TestForwardedCrashesAreSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	from, relay := NewReports(), NewReports()
	from.NoteCrash("s", quarantine.Fingerprint{High: 1, Low: 2}, 7)
	relay.Merge(from.Drain())
	g.Expect(countCrashes(relay.Drain())).To(gomega.Equal(1))
	g.Expect(countCrashes(relay.Drain())).To(gomega.BeZero())
}

func TestNewestQuarantineOfTheTopicApplies(t *testing.T) {
	g := gomega.NewWithT(t)
	var o Ownership
	records := []store.Record{
		{Offset: 3, Key: QuarantineKey, Value: []byte(`{"boot":"b","serial":2,"requests":{"00000000000000010000000000000002":{"quarantined":true,"servers":["s"]}}}`)},
		{Offset: 2, Key: QuarantineKey, Value: []byte(`{"boot":"b","serial":1,"requests":{}}`)},
	}
	g.Expect(o.fold(store.Batch{Records: records, Next: 4, End: 4}, time.Now())).To(gomega.BeEmpty())
	g.Expect(o.Quarantine.Offset).To(gomega.Equal(store.Offset(3)))
	g.Expect(o.Quarantine.List.IsQuarantined(quarantine.Fingerprint{High: 1, Low: 2})).To(gomega.BeTrue())
	state := view.NewState()
	g.Expect(state.MergeQuarantine(o.Quarantine)).To(gomega.BeTrue())
	g.Expect(state.MergeQuarantine(view.Quarantine{Offset: 2, List: quarantine.List{}})).To(gomega.BeFalse(), "an older list")
}

// Guards against nodes of earlier versions that call again and again.
func TestNodesWithoutQuarantinesDoNotWaitForTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	state := view.NewState()
	state.MergeQuarantine(view.Quarantine{Offset: 3, List: quarantine.List{}})
	v := state.Now()
	g.Expect(newerQuarantine(v, &bspb.FollowRequest{})).To(gomega.BeFalse())
	g.Expect(newerQuarantine(v, &bspb.FollowRequest{QuarantineOffset: 3})).To(gomega.BeFalse())
	g.Expect(newerQuarantine(v, &bspb.FollowRequest{QuarantineOffset: -1})).To(gomega.BeTrue())
	request := new(bspb.FollowRequest)
	setKnownVersions(request, view.NewState().Now())
	g.Expect(newerQuarantine(v, request)).To(gomega.BeTrue(), "a node without a list")
}
