package duty

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// acceptingStore takes every append.
type acceptingStore struct{ store.Store }

func (acceptingStore) AppendAt(context.Context, store.Topic, store.Offset, store.Record) error {
	return nil
}

// A lessor that gives its lease up while a grant is under way would leave the next
// one in doubt of it, which then moves nothing for 3.6 s.
func TestALessorWaitsForAnswersBeforeItResigns(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	servers := map[site.ServerID]site.Server{"a": {ID: "a", Service: "s"}}
	owned := ranges.Assignment{Span: ranges.Span{To: ranges.LastKey}, Server: "a", Fence: 1}
	table := &ranges.Table{Services: map[site.ServiceName][]ranges.Assignment{"s": {owned}}}
	d := New()
	d.Store, d.Logger, d.Timing = acceptingStore{}, hclog.NewNullLogger(), ranges.DefaultTiming()
	d.keeper = ranges.NewKeeper(table, d.Timing, 0, now)
	d.confirmedAt = now
	d.resigning = make(chan struct{})
	call := d.keeper.Calls(servers, d.lease(now), now)[0]

	d.step(t.Context(), now)
	g.Expect(d.appending).To(gomega.BeNil())
	d.keeper.Done(call, ranges.Result{}, now)
	d.step(t.Context(), now)
	g.Expect(d.appending).NotTo(gomega.BeNil())
	var beat follow.Heartbeat
	g.Expect(json.Unmarshal(d.appending.record.Value, &beat)).To(gomega.Succeed())
	g.Expect(beat.Resigned).To(gomega.BeTrue())
	g.Expect(*beat.DoubtMs).To(gomega.BeZero())
	g.Expect(time.Duration(beat.HeldMs) * time.Millisecond).To(gomega.BeNumerically(">", 3*time.Second))
}
