package logfault_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/logtest"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/topo"
)

func TestSpecs(t *testing.T) { spectest.Run(t, "platlog/logfault") }

var _ = logtest.Describe("logfault", func(testing.TB) logtest.Target {
	store := memlog.New(memlog.Retention{})
	log := logfault.Wrap(store)
	set := func(faults logfault.Faults) func() { return func() { log.Set(faults) } }
	return logtest.Target{Log: log, Truncate: store.Truncate, Faults: logtest.Faults{
		Down:         log.Down,
		Unresponsive: set(logfault.Faults{Unresponsive: true}),
		LoseAnswer:   set(logfault.Faults{LoseAnswers: 1}),
		LoseRequest:  set(logfault.Faults{LoseRequests: 1}),
		Repeat:       set(logfault.Faults{Repeat: 1}),
		Heal:         log.Heal,
	}}
}, logtest.Down, logtest.Unresponsive, logtest.AnswerLost, logtest.RequestLost, logtest.ReadAgain)

func TestLateAppendTakesEffectAfterItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := memlog.New(memlog.Retention{})
		log := logfault.Wrap(store)
		log.Set(logfault.Faults{LateAppends: 1, LateBy: time.Second})
		_, err := log.Append(t.Context(), []byte("late"))
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&platlog.UncertainError{}))
		_, end := store.Bounds()
		g.Expect(end).To(gomega.Equal(topo.Offset(1)))
		log.Settle()
		_, end = store.Bounds()
		g.Expect(end).To(gomega.Equal(topo.Offset(2)))
	})
}
