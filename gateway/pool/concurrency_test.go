package pool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against a limit that nodes don't choose by, one that outlives its guidance or applies to other sites, and one that
// refuses requests.
func TestALimitedServerCountsAsHavingFewerSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	m := p.members["s1"]
	m.limit = 4
	for range 2 {
		m.recordSend(guidedAt)
	}
	w := waiterOf("short")
	before := p.timeFor(m, w, guidedAt)
	limited := testGuidance(nil)
	limited.Concurrency = map[site.ServerID]int{"s1": 2, "s2": 9}
	p.SetGuidance("s", limited, guidedAt)
	g.Expect(p.hasFreeSlot(m, guidedAt)).To(gomega.BeTrue(), "the rule of free slots counts all slots")
	g.Expect(p.timeFor(m, w, guidedAt)).To(gomega.BeNumerically(">", 1.2*before))
	g.Expect(p.hasCapacity(m, guidedAt)).To(gomega.BeTrue(), "the limit alone refuses nothing")
	g.Expect(p.Speeds(guidedAt).Servers["s1"].Concurrency).To(gomega.Equal(2))
	g.Expect(p.usableSlots(p.members["s2"], guidedAt)).To(gomega.Equal(4.0), "beyond its slots")
	g.Expect(p.usableSlots(m, guidedAt.Add(guidance.Validity+time.Second))).To(gomega.Equal(4.0), "the lessor is silent")
	limited.Mixed = nil
	p.SetGuidance("s", limited, guidedAt)
	g.Expect(p.usableSlots(m, guidedAt)).To(gomega.Equal(4.0), "a site that is not mixed")
}
