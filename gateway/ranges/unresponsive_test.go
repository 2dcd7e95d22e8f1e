package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// failRenewals lets the calls of the lessor to the owner of every range fail until the
// owner is treated as unresponsive, and returns the time at which that is so.
func failRenewals(alloc *Allocator, s Site, now time.Time) time.Time {
	for range failuresToExpire {
		for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
			alloc.Done(call, Result{Failed: true}, now)
		}
		now = now.Add(DefaultTiming().Renew)
	}
	return now
}

// A server that cannot be reached and stays in the registry owns no keys once its ranges
// expire, the fewest of all servers. It must not get them back at once.
func TestTheRangesOfAnUnresponsiveServerMoveToAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	now := failRenewals(alloc, s, allocatorStart)
	now = now.Add(DefaultTiming().PreviousHold())
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("b")))
}

// If there is no other server, the unresponsive one is tried again.
func TestTheRangesOfTheOnlyServerReturnToIt(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	delete(s.Servers, "b")
	now := failRenewals(alloc, s, allocatorStart)
	now = now.Add(DefaultTiming().PreviousHold())
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("a")))
}

// A server that responds again may get ranges again.
func TestAServerThatAnswersAgainTakesRanges(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	now := failRenewals(alloc, s, allocatorStart)
	g.Expect(alloc.eligibleServers(s, worldService, now)).To(gomega.HaveLen(1))
	for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
		alloc.Done(call, Result{}, now)
	}
	g.Expect(alloc.eligibleServers(s, worldService, now)).To(gomega.HaveLen(2))
}

// A registry entry from another writer may name an unknown service and the address of a
// running server that holds keys and whose own entry is broken. Such an entry was treated
// as proof that the owner had ended, so one server ran keys that another one held until its
// holds expired.
func TestAnEntryOfAnUnknownServiceDoesNotProveThatTheOwnerEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	delete(s.Servers, "a")
	s.Servers["c"] = site.Server{ID: "c", Service: "unknown", Address: "x"}
	g.Expect(alloc.Plan(s, 3, allocatorStart)).To(gomega.BeNil())
}
