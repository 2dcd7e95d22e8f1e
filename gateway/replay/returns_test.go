package replay_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/replay"
)

// sumOfReturns runs a scenario with several seeds, because the order of returning callers shifts a few answers in a
// hundred.
func sumOfReturns(l replay.Load, policy replay.Policy) (sum replay.Returns) {
	for seed := uint64(1); seed <= 4; seed++ {
		r := runAs(l, policy, seed).Returns
		sum.RefusedTwice += r.RefusedTwice
		sum.RefusedTwiceWaiting += r.RefusedTwiceWaiting
		sum.Waiting += r.Waiting
		sum.WaitingInTime += r.WaitingInTime
		sum.AtOnce += r.AtOnce
		sum.AtOnceInTime += r.AtOnceInTime
	}
	return sum
}

// Fails when the decision is left out: callers that wait for the stated delay are then refused twice more often, and those that retry
// at once are rewarded.
func TestOrderOfReturnsHelpsCallersThatWait(t *testing.T) {
	g := gomega.NewWithT(t)
	l := scenario(t, "returning-owners-81")
	ordered, without := sumOfReturns(l, replay.Pooled), sumOfReturns(l, replay.NoReturnOrder)
	t.Logf("ordered: %+v; without: %+v", ordered, without)
	g.Expect(float64(ordered.RefusedTwiceWaiting)).To(gomega.BeNumerically("<", 0.85*float64(without.RefusedTwiceWaiting)))
	g.Expect(float64(ordered.RefusedTwice)).To(gomega.BeNumerically("<", 0.95*float64(without.RefusedTwice)))
	g.Expect(float64(ordered.WaitingInTime)).To(gomega.BeNumerically(">", 1.06*float64(without.WaitingInTime)))
	g.Expect(ordered.AtOnceInTime).To(gomega.BeNumerically("<", without.AtOnceInTime))
}

// Guards against a gain for those that wait which costs others more: about as many are answered in time.
func TestOrderOfReturnsCostsNoAnswersInTime(t *testing.T) {
	for _, name := range []string{"returning-81", "returning-owners-81"} {
		l := scenario(t, name)
		ordered, without := sumOfReturns(l, replay.Pooled), sumOfReturns(l, replay.NoReturnOrder)
		inTime := func(r replay.Returns) float64 { return float64(r.WaitingInTime + r.AtOnceInTime) }
		gomega.NewWithT(t).Expect(inTime(ordered)).To(gomega.BeNumerically(">", 0.985*inTime(without)), name)
	}
}
