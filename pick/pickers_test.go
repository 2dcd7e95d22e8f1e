package pick_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/pick"
)

const picks = 4000

func picked(picker pick.Picker, candidates []pick.Candidate) []int {
	random := rand.New(rand.NewPCG(1, 1))
	result := make([]int, len(candidates))
	for range picks {
		chosen, _ := picker.Pick(candidates, random.Float64)
		result[chosen]++
	}
	return result
}

func TestRandomFollowsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	got := picked(pick.Random{}, []pick.Candidate{{Weight: 1}, {Weight: 0}, {Weight: 3, Load: 9}})
	g.Expect(got[1]).To(gomega.BeZero())
	g.Expect(got[2]).To(gomega.BeNumerically("~", picks*3/4, picks/20))
}

func TestRoundRobinTakesTurns(t *testing.T) {
	g := gomega.NewWithT(t)
	got := picked(&pick.RoundRobin{}, []pick.Candidate{{Weight: 1}, {Weight: 1}, {Weight: 0}, {Weight: 1}})
	g.Expect(got[2]).To(gomega.BeZero())
	g.Expect(got[0]).To(gomega.Equal(picks / 4))
	got = picked(&pick.RoundRobin{}, make([]pick.Candidate, 2))
	g.Expect(got).To(gomega.Equal([]int{picks / 2, picks / 2}))
}

func TestBudgetedPickersStayWithinTheirBudget(t *testing.T) {
	candidates := []pick.Candidate{{Weight: 1, Load: 2}, {Weight: 1}, {Weight: 1, Load: 2}, {Weight: 1, Load: 2}}
	for _, perRequest := range []float64{0, 0.5, 1, 2} {
		g := gomega.NewWithT(t)
		choices := &pick.ProbeBudget{PerRequest: perRequest, Burst: 4}
		push := &pick.ProbeBudget{PerRequest: perRequest, Burst: 4}
		byChoices := picked(pick.BudgetedChoices{ProbeBudget: choices, D: 2}, candidates)
		byPush := picked(pick.BudgetedPush{ProbeBudget: push, High: 1, Low: 0.5, MaxAlternatives: 2}, candidates)
		for _, probes := range []*pick.ProbeBudget{choices, push} {
			g.Expect(probes.Probes()).To(gomega.BeNumerically("<=", perRequest*picks))
			g.Expect(probes.Probes()).To(gomega.BeNumerically(">=", 0.9*perRequest*picks))
		}
		if perRequest == 0 {
			g.Expect(byPush[1]).To(gomega.BeNumerically("~", picks/4, picks/20))
			continue
		}
		g.Expect(byChoices[1]).To(gomega.BeNumerically(">", picks/4))
		g.Expect(byPush[1]).To(gomega.BeNumerically(">", picks/4))
	}
}

func TestPushKeepsACandidateWithLowLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	probes := &pick.ProbeBudget{PerRequest: 3, Burst: 3}
	got := picked(pick.BudgetedPush{ProbeBudget: probes, High: 1, Low: 0.5, MaxAlternatives: 2}, []pick.Candidate{{Weight: 1, Load: 0.9}, {Weight: 1}})
	g.Expect(got[0]).To(gomega.BeNumerically("~", picks/2, picks/20))
	g.Expect(probes.Probes()).To(gomega.Equal(picks))
}

func TestBudgetedPickersCountProbes(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := &pick.ProbeBudget{PerRequest: 1, Burst: 1}
	var picker pick.Picker = pick.BudgetedChoices{ProbeBudget: budget, D: 1}
	_, counted := picker.(interface{ Probes() int })
	g.Expect(counted).To(gomega.BeTrue())
	picker = pick.BudgetedPush{ProbeBudget: budget}
	_, counted = picker.(interface{ Probes() int })
	g.Expect(counted).To(gomega.BeTrue())
}
