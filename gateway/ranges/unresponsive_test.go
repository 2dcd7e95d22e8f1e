package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// failRenewals has the lessor call the owner of every range, in vain, until it counts as
// silent, and returns when.
func failRenewals(alloc *Allocator, s Site, now time.Time) time.Time {
	for range failuresToExpire {
		for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
			alloc.Done(call, Result{Failed: true}, now)
		}
		now = now.Add(DefaultTiming().Renew)
	}
	return now
}

// A server that cannot be reached and stays in the register owns no keys once its
// ranges lapse, the fewest of all. It does not get them back at once.
func TestTheRangesOfAnUnresponsiveServerMoveToAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	now := failRenewals(alloc, s, allocatorStart)
	now = now.Add(DefaultTiming().FormerHold())
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("b")))
}

// With no other server the silent one is tried again.
func TestTheRangesOfTheOnlyServerReturnToIt(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	delete(s.Servers, "b")
	now := failRenewals(alloc, s, allocatorStart)
	now = now.Add(DefaultTiming().FormerHold())
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("a")))
}

// A server that answers again may get ranges again.
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

// An entry of another writer may name a service that nobody knows, and the address
// of a server that lives and holds keys: its own entry was broken before. Keys were
// run by one server and held by the other for as long as the holds lasted.
func TestAnEntryOfAnUnknownServiceDoesNotProveThatTheOwnerEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	delete(s.Servers, "a")
	s.Servers["c"] = site.Server{ID: "c", Service: "unknown", Address: "x"}
	g.Expect(alloc.Plan(s, 3, allocatorStart)).To(gomega.BeNil())
}
