package lessor

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// planned reports whether the first lessor would ask for a mode now.
func (w *world) planned(to Mode) bool {
	return slices.Contains(w.member(0).Plan(w.clock(0)), Action(ChangeMode{To: to}))
}

func TestFailingLogChangesTheModeBeforeContactIsOld(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSearchWorld(&bounds{ttl: walkTTL, limit: 8 * walkTTL, lazy: true})
	wait := w.b.config(0, 1).HeartbeatEvery
	g.Expect(w.planned(ModeDisconnected)).To(gomega.BeFalse(), "the log answers")

	w.member(0).LogFailing(w.clock(0), true)
	g.Expect(w.planned(ModeDisconnected)).To(gomega.BeFalse(), "it may be one failure")
	w.member(0).LogFailing(w.clock(0), false)
	w.now += wait
	w.member(0).LogFailing(w.clock(0), true)
	g.Expect(w.planned(ModeDisconnected)).To(gomega.BeFalse(), "reads in between worked")
	w.now += wait
	w.member(0).LogFailing(w.clock(0), true)
	g.Expect(w.planned(ModeDisconnected)).To(gomega.BeTrue())

	w.member(0).BeginChangeMode(ModeDisconnected)
	g.Expect(w.beat("")).To(gomega.BeTrue())
	g.Expect(w.planned(ModeConnected)).To(gomega.BeFalse(), "the log still fails")
	w.readLog(0, true)
	w.member(0).LogFailing(w.clock(0), false)
	g.Expect(w.planned(ModeConnected)).To(gomega.BeTrue())
}

func TestFailingLogWithoutAPromiseChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSearchWorld(&bounds{ttl: walkTTL, limit: 8 * walkTTL, lazy: true})
	w.member(0).LogFailing(w.clock(0), true)
	w.now += walkTTL // the standby lessor is silent
	w.readLog(0, true)
	g.Expect(w.planned(ModeDisconnected)).To(gomega.BeFalse())
}
