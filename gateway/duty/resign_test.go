package duty

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// acceptingStore accepts every append.
type acceptingStore struct{ store.Store }

func (acceptingStore) AppendAt(context.Context, store.Topic, store.Offset, store.Record) error {
	return nil
}

// conflictingStore already has the record of an append: the response to an earlier attempt
// was lost.
type conflictingStore struct {
	store.Store
	record store.Record
}

func (conflictingStore) AppendAt(_ context.Context, _ store.Topic, at store.Offset, _ store.Record) error {
	return &store.ConflictError{}
}

func (s conflictingStore) Read(context.Context, store.Topic, store.Offset, time.Duration) (store.Batch, error) {
	return store.Batch{Records: []store.Record{s.record}}, nil
}

// Another node may have claimed between the attempt that took effect and the one that
// reveals it, so the lease is measured from the first attempt.
func TestLeaseIsConfirmedAsOfTheFirstAttemptOfAnAppend(t *testing.T) {
	g := gomega.NewWithT(t)
	record := store.Record{Key: follow.HeartbeatKey, Value: []byte("x")}
	d := New()
	d.Store = conflictingStore{record: record}
	firstAttempt := clock.Now().Add(-time.Second)
	d.sendAppend(t.Context(), &pendingAppend{record: record, startedAt: firstAttempt})
	result := <-d.appendResults
	g.Expect(result.alreadyApplied).To(gomega.BeTrue())
	g.Expect(result.startedAt).To(gomega.Equal(firstAttempt))
}

// If a lessor resigned with a grant in flight, the outcome of the grant would be uncertain
// to the next lessor, which then moves nothing for 3.6 s.
func TestLessorWaitsForResponsesBeforeItResigns(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	servers := map[site.ServerID]site.Server{"a": {ID: "a", Service: "s"}}
	d := lessorOf(now, 0)
	d.Store = acceptingStore{}
	d.resigning = make(chan struct{})
	call := d.allocator.Calls(servers, d.lease(), now)[0]

	d.step(t.Context(), now)
	g.Expect(d.appending).To(gomega.BeNil())
	d.allocator.Done(call, ranges.Result{}, now)
	d.step(t.Context(), now)
	g.Expect(d.appending).NotTo(gomega.BeNil())
	var heartbeat follow.Heartbeat
	g.Expect(json.Unmarshal(d.appending.record.Value, &heartbeat)).To(gomega.Succeed())
	g.Expect(heartbeat.Resigned).To(gomega.BeTrue())
	g.Expect(*heartbeat.UncertainMs).To(gomega.BeZero())
	g.Expect(time.Duration(heartbeat.HeldMs) * time.Millisecond).To(gomega.BeNumerically(">", d.Timing.Hold))
}
