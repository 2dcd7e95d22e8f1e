package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAgesReportOldAndUnansweredGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	g.Expect(alloc.Ages(allocatorStart)).To(gomega.Equal(GrantAges{Ranges: 1, Unanswered: 1}), "not granted yet")
	for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart) {
		alloc.Done(call, Result{}, allocatorStart)
	}
	g.Expect(alloc.Ages(allocatorStart.Add(time.Second))).To(gomega.Equal(GrantAges{Ranges: 1, Oldest: time.Second}))
	failRenewals(alloc, s, allocatorStart.Add(time.Second))
	g.Expect(alloc.Ages(allocatorStart.Add(2 * time.Second)).Unanswered).To(gomega.Equal(1))
}
