package pool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
)

// Guards against guidance that is used after its time, when its lessor may be lost, or dropped before.
func TestGuidanceExpires(t *testing.T) {
	for name, c := range map[string]struct {
		age                         time.Duration
		isGuided, hasOrder, isMixed bool
	}{
		"new":                {0, true, true, true},
		"admissions expire":  {AdmissionValidity - 1, true, true, true},
		"admissions expired": {AdmissionValidity, true, true, false},
		"speeds expire":      {guidance.Validity - 1, true, true, false},
		"expired":            {guidance.Validity, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p, now := newGuidedPool(), guidedAt.Add(c.age)
			g.Expect(p.IsGuided(now)).To(gomega.Equal(c.isGuided))
			g.Expect(p.work(waiterOf("long"), now) > 0).To(gomega.Equal(c.isGuided))
			_, _, hasSpeed := p.SpeedOf("s0", now)
			g.Expect(hasSpeed).To(gomega.Equal(c.isGuided))
			g.Expect(p.PromiseReturn(waiterOf("long"), now) != nil).To(gomega.Equal(c.hasOrder))
			w := waiterOf("long")
			w.Waited = time.Second
			p.setOrder(w, now)
			g.Expect(w.order == returns.WaitedAsTold).To(gomega.Equal(c.hasOrder))
			g.Expect(p.IsMixed(now)).To(gomega.Equal(c.isMixed))
		})
	}
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	p.SetGuidance("s", testGuidance(nil), time.Time{})
	g.Expect(p.IsGuided(guidedAt)).To(gomega.BeFalse(), "never received")
	g.Expect(p.IsMixed(guidedAt)).To(gomega.BeFalse())
	p.SetGuidance("s", testGuidance(nil), guidedAt.Add(guidance.Validity))
	g.Expect(p.IsGuided(guidedAt.Add(guidance.Validity))).To(gomega.BeTrue(), "received again")
}
