package lessor

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// plansMode reports whether the first lessor would request a mode now.
func (w *world) plansMode(to Mode) bool {
	return slices.Contains(w.member(0).Plan(w.clock(0)), Action(ChangeMode{To: to}))
}

func TestFailingLogChangesModeBeforeContactExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSearchWorld(&bounds{ttl: walkTTL, limit: 8 * walkTTL, followPlans: true})
	wait := w.b.config(0, 1).HeartbeatEvery
	g.Expect(w.plansMode(ModeDisconnected)).To(gomega.BeFalse(), "the log answers")

	w.member(0).LogFailing(w.clock(0), true)
	g.Expect(w.plansMode(ModeDisconnected)).To(gomega.BeFalse(), "it may be one failure")
	w.member(0).LogFailing(w.clock(0), false)
	w.now += wait
	w.member(0).LogFailing(w.clock(0), true)
	g.Expect(w.plansMode(ModeDisconnected)).To(gomega.BeFalse(), "reads in between worked")
	w.now += wait
	w.member(0).LogFailing(w.clock(0), true)
	g.Expect(w.plansMode(ModeDisconnected)).To(gomega.BeTrue())

	w.member(0).BeginChangeMode(ModeDisconnected)
	g.Expect(w.firstHeartbeat("")).To(gomega.BeTrue())
	g.Expect(w.plansMode(ModeConnected)).To(gomega.BeFalse(), "the log still fails")
	w.readLog(0, true)
	w.member(0).LogFailing(w.clock(0), false)
	g.Expect(w.plansMode(ModeConnected)).To(gomega.BeTrue())
}

func TestFailingLogWithoutPromiseKeepsMode(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSearchWorld(&bounds{ttl: walkTTL, limit: 8 * walkTTL, followPlans: true})
	w.member(0).LogFailing(w.clock(0), true)
	w.now += walkTTL // the standby lessor is unresponsive
	w.readLog(0, true)
	g.Expect(w.plansMode(ModeDisconnected)).To(gomega.BeFalse())
}
