package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAgesTellOfGrantsThatAreOldOrUnanswered(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := owned(t)
	g.Expect(k.Ages(keeperStart)).To(gomega.Equal(GrantAges{Ranges: 1, Unanswered: 1}), "not granted yet")
	for _, call := range k.Calls(s.Servers, Lease{ConfirmedAt: keeperStart}, keeperStart) {
		k.Done(call, Result{}, keeperStart)
	}
	g.Expect(k.Ages(keeperStart.Add(time.Second))).To(gomega.Equal(GrantAges{Ranges: 1, Oldest: time.Second}))
	miss(k, s, keeperStart.Add(time.Second))
	g.Expect(k.Ages(keeperStart.Add(2 * time.Second)).Unanswered).To(gomega.Equal(1))
}
