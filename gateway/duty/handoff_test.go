package duty

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// lessorOf returns the duty of a lessor whose table assigns one range, to server a.
func lessorOf(now time.Time, formerHold time.Duration) *Duty {
	owned := ranges.Assignment{Span: ranges.Span{To: ranges.LastKey}, Server: "a", Fence: 1}
	table := &ranges.Table{Services: map[site.ServiceName][]ranges.Assignment{"s": {owned}}}
	d := New()
	d.Self = ranges.Lessor{Node: "n1", Boot: "b1"}
	d.Logger, d.Timing, d.Reader = hclog.NewNullLogger(), ranges.DefaultTiming(), new(follow.Reader)
	d.State = view.NewState()
	d.allocator = ranges.NewAllocator(table, d.Timing, formerHold, now)
	d.topicEnd, d.confirmedAt = 8, now
	d.setLessor(true)
	return d
}

func handOffRequest(node, boot string, claim store.Offset) *follow.HandOff {
	return &follow.HandOff{Previous: ranges.Lessor{Node: node, Boot: boot}, Claim: claim, Reply: make(chan follow.PreviousGrants, 1)}
}

// The store refuses the requests of the lessor's node, and another node claims the lease.
// The previous lessor is notified by that node, waits for the call in flight and reports
// its outstanding grants.
func TestLessorHandsOffAfterAnotherNodeClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	servers := map[site.ServerID]site.Server{"a": {ID: "a", Service: "s"}}
	d := lessorOf(now, 0)
	call := d.allocator.Calls(servers, d.lease(), now)[0]

	request := handOffRequest("n1", "b1", 8)
	d.beginHandOff(request)
	g.Expect(d.IsLessor()).To(gomega.BeFalse())
	d.step(t.Context(), now)
	g.Expect(request.Reply).To(gomega.BeEmpty(), "a call is in flight")
	d.allocator.Done(call, ranges.Result{}, now)
	d.step(t.Context(), now)
	remaining := (<-request.Reply).Ranges
	g.Expect(remaining).To(gomega.HaveLen(1))
	g.Expect(remaining[0].Held).To(gomega.BeNumerically(">", d.Timing.Hold))
	g.Expect(remaining[0].Uncertain).To(gomega.BeZero())
	g.Expect(d.allocator).To(gomega.BeNil())
}

func TestHandOffOfAnotherLeaseIsRefused(t *testing.T) {
	for name, request := range map[string]*follow.HandOff{
		"another node":      handOffRequest("n2", "b2", 8),
		"an earlier claim":  handOffRequest("n1", "b1", 7),
		"an outdated claim": handOffRequest("n1", "b1", 1),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := lessorOf(clock.Now(), 0)
			d.beginHandOff(request)
			_, isReported := <-request.Reply
			g.Expect(isReported).To(gomega.BeFalse())
			g.Expect(d.IsLessor()).To(gomega.BeTrue())
		})
	}
}

// An append of the previous lessor may still be in flight: the duty ends when its outcome
// is known.
func TestHandOffWaitsForTheOutcomeOfAnAppend(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	d := lessorOf(now, 0)
	d.appending = &pendingAppend{offset: 8}
	request := handOffRequest("n1", "b1", 8)
	d.beginHandOff(request)
	d.step(t.Context(), now)
	g.Expect(request.Reply).To(gomega.HaveLen(1), "outstanding grants do not depend on the append")
	g.Expect(d.allocator).NotTo(gomega.BeNil())
	d.handleAppend(t.Context(), appendResult{pending: d.appending, startedAt: now, err: &store.ConflictError{}})
	g.Expect(d.allocator).To(gomega.BeNil())
}

// previousNode is a previous lessor that responds.
type previousNode struct{ grants follow.PreviousGrants }

// RequestGrants implements PreviousLessor.
func (f previousNode) RequestGrants(context.Context, ranges.Lessor, store.Offset) (follow.PreviousGrants, error) {
	return f.grants, nil
}

func TestNewLessorWaitsNoLongerThanThePreviousOneReports(t *testing.T) {
	reported := ranges.Remaining{Service: "s", Span: ranges.Span{To: ranges.LastKey}, Held: time.Second}
	ended := follow.PreviousGrants{HasEnded: true, EndedFor: 4 * time.Second}
	for name, row := range map[string]struct {
		grants      follow.PreviousGrants
		earlierHold time.Duration // how long grants of lessors before the previous one may be in force
		want        time.Duration
	}{
		"it reports its grants":                       {follow.PreviousGrants{Ranges: []ranges.Remaining{reported}}, 0, time.Second},
		"its process has ended":                       {ended, 0, ranges.DefaultTiming().HoldAfterExit() - 4*time.Second},
		"grants of an earlier lessor may be in force": {ended, 9 * time.Second, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := lessorOf(clock.Now(), ranges.DefaultTiming().PreviousHold())
			d.leaseOffset = 7
			d.PreviousLessor = previousNode{row.grants}
			d.queryPreviousLessor(t.Context(), &pendingAppend{offset: 7, previousLessor: ranges.Lessor{Node: "n2", Boot: "b2"}})
			report := <-d.previousReports
			d.earlierHoldEnd = report.receivedAt.Add(row.earlierHold)
			d.handlePreviousGrants(report)
			g.Expect(d.allocator.HeldFor(report.receivedAt)).To(gomega.Equal(row.want))
		})
	}
}

// All nodes lose power and restart. The node of the previous lessor reports to the next
// lessor, which may be itself, that nothing was granted since the process ended.
func TestNextIncarnationReportsThatThePreviousOneEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := lessorOf(clock.Now(), 0)
	d.StartedAt = clock.Now().Add(-time.Second)
	request := handOffRequest("n1", "b0", 8)
	d.beginHandOff(request)
	reported := <-request.Reply
	g.Expect(reported.HasEnded).To(gomega.BeTrue())
	g.Expect(reported.EndedFor).To(gomega.BeNumerically(">=", time.Second))
	g.Expect(d.IsLessor()).To(gomega.BeTrue())
}

// startingNode is the node of a previous lessor that was killed. It does not listen at
// first.
type startingNode struct {
	refusals int
	err      error
	asked    int
}

// RequestGrants implements PreviousLessor.
func (s *startingNode) RequestGrants(context.Context, ranges.Lessor, store.Offset) (follow.PreviousGrants, error) {
	s.asked++
	if s.asked <= s.refusals {
		return follow.PreviousGrants{}, s.err
	}
	return follow.PreviousGrants{HasEnded: true}, nil
}

func TestPreviousLessorIsQueriedUntilItsNodeRestarts(t *testing.T) {
	for name, row := range map[string]struct {
		former  startingNode
		isKnown bool
		asked   int
	}{
		"it restarts":             {startingNode{refusals: 3, err: syscall.ECONNREFUSED}, true, 4},
		"not the previous lessor": {startingNode{refusals: 3, err: &follow.UnknownLessorError{}}, false, 1},
		"it does not restart":     {startingNode{refusals: 100, err: syscall.ECONNREFUSED}, false, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				d := New()
				d.Logger = hclog.NewNullLogger()
				former := row.former
				d.PreviousLessor = &former
				_, isKnown := d.awaitPreviousGrants(t.Context(), &pendingAppend{previousHold: 3*queryRetryDelay - time.Millisecond})
				g.Expect(isKnown).To(gomega.Equal(row.isKnown))
				g.Expect(former.asked).To(gomega.Equal(row.asked))
			})
		})
	}
}
