package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAgesTellOfGrantsThatAreOldOrUnanswered(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := owned(t)
	g.Expect(k.Ages(allocatorStart)).To(gomega.Equal(GrantAges{Ranges: 1, Unanswered: 1}), "not granted yet")
	for _, call := range k.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart) {
		k.Done(call, Result{}, allocatorStart)
	}
	g.Expect(k.Ages(allocatorStart.Add(time.Second))).To(gomega.Equal(GrantAges{Ranges: 1, Oldest: time.Second}))
	miss(k, s, allocatorStart.Add(time.Second))
	g.Expect(k.Ages(allocatorStart.Add(2 * time.Second)).Unanswered).To(gomega.Equal(1))
}
