package duty

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

var copyEnd = store.At(1, 5)

// ownershipAt returns the state of a topic that ends at copyEnd, whose table was written at an offset.
func ownershipAt(offset store.Offset, now time.Time) *follow.Ownership {
	table := &ranges.Table{Lessor: ranges.Lessor{Node: "n2", Boot: "b2"}}
	return &follow.Ownership{Known: true, End: copyEnd, Table: view.Table{Offset: offset, Table: table}, ReadAt: now, EndObservedAt: now, EraObservedAt: now}
}

// Guards against a lessor that takes the store's return from a copy for another lessor's claim, and against one
// that goes on although another may have claimed in the history that is gone.
func TestLessorWritesItsTableAgainInANewEra(t *testing.T) {
	for name, row := range map[string]struct {
		quiet      time.Duration // since the lessor's latest append
		result     *ranges.Result
		newestAt   store.Offset
		isLessor   bool
		isAppended bool
	}{
		"nobody can have claimed meanwhile":            {time.Second, nil, 3, true, true},
		"another may have claimed":                     {3 * time.Second, nil, 3, true, false},
		"another may have claimed, the owner accepts":  {3 * time.Second, &ranges.Result{}, 3, true, true},
		"another may have claimed, the owner refuses":  {3 * time.Second, &ranges.Result{Fenced: true}, 3, false, false},
		"another may have claimed, no answer":          {3 * time.Second, &ranges.Result{Failed: true, Outcome: ranges.InFlight}, 3, true, false},
		"the grant period is over":                     {6 * time.Second, nil, 3, false, false},
		"another has written its table in the new era": {time.Second, nil, store.At(1, 4), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := clock.Now()
			d := lessorOf(now, 0)
			d.confirmedAt = now.Add(-row.quiet)
			d.Store = acceptingStore{}
			p := &pendingAppend{offset: 8}
			d.appending = p
			d.handleAppend(t.Context(), appendResult{pending: p, startedAt: now, err: &store.EraError{End: copyEnd}, newEra: ownershipAt(row.newestAt, now)})
			if row.result != nil {
				servers := map[site.ServerID]site.Server{"a": {ID: "a", Service: "s"}}
				call := d.allocator.Calls(servers, d.lease(), now.Add(time.Millisecond))[0]
				d.allocator.Done(call, *row.result, now.Add(2*time.Millisecond))
			}
			d.step(t.Context(), now.Add(10*time.Millisecond))
			g.Expect(d.IsLessor()).To(gomega.Equal(row.isLessor))
			g.Expect(d.appending != nil).To(gomega.Equal(row.isAppended))
			if !row.isAppended {
				return
			}
			g.Expect(d.appending.offset).To(gomega.Equal(copyEnd))
			table := d.appending.change.Table
			g.Expect(*table.Era).To(gomega.Equal(copyEnd.Era()))
			owner, _ := table.Owner("s", 0)
			g.Expect(owner.Server).To(gomega.Equal(site.ServerID("a")), "no key changes its owner")
			g.Expect(owner.Fence).To(gomega.Equal(ranges.Fence(copyEnd)), "above all of the ended era")
			d.handleAppend(t.Context(), <-d.appendResults)
			g.Expect(d.reissue).To(gomega.BeNil())
			g.Expect(d.topicEnd).To(gomega.Equal(copyEnd + 1))
		})
	}
}

// Guards against a lessor that renews nothing any more when the store comes back from a copy once more while the
// table is being written again.
func TestLessorRenewsWhenTheEraEndsOnceMore(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	servers := map[site.ServerID]site.Server{"a": {ID: "a", Service: "s"}}
	d := lessorOf(now, 0)
	d.confirmedAt = now.Add(-2 * time.Second)
	d.Store = acceptingStore{}
	p := &pendingAppend{change: d.allocator.Reissue(8, now)}
	for _, end := range []store.Offset{copyEnd, store.At(2, 3)} {
		d.appending = p
		newEra := ownershipAt(3, now)
		newEra.End = end
		d.handleAppend(t.Context(), appendResult{pending: p, startedAt: now, err: &store.EraError{End: end}, newEra: newEra})
		now = now.Add(d.Timing.Renew)
		calls := d.allocator.Calls(servers, d.lease(), now)
		g.Expect(calls).To(gomega.HaveLen(1), "the owner's hold goes on")
		d.allocator.Done(calls[0], ranges.Result{}, now)
		d.step(t.Context(), now)
		p = d.appending
		g.Expect(p).NotTo(gomega.BeNil())
		g.Expect(p.offset).To(gomega.Equal(end))
	}
}

// Guards against a claim on a table from a copy, which does not name who holds which keys.
func TestTableFromACopyIsClaimedWhenAllGrantsHaveExpired(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	d := lessorOf(now, 0)
	d.endLease()
	setKeyedService(d)
	isDue := func(offset store.Offset, after time.Duration) bool {
		d.claimAt = time.Time{}
		ownership := ownershipAt(offset, now)
		ownership.ReadAt = now.Add(after)
		d.claimIsDue(*ownership, now.Add(after)) // schedules the claim
		return !d.claimAt.IsZero()
	}
	g.Expect(isDue(store.At(1, 4), suspectTimeout+1)).To(gomega.BeTrue(), "a lessor has written in the new era")
	g.Expect(isDue(3, suspectTimeout+1)).To(gomega.BeFalse())
	g.Expect(isDue(3, d.Timing.PreviousHold()-1)).To(gomega.BeFalse())
	g.Expect(isDue(3, d.Timing.PreviousHold()+1)).To(gomega.BeTrue())
}
