package pick_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/topo"
)

func candidates(loads []float64, weights []float64) []pick.Candidate {
	all := make([]pick.Candidate, len(loads))
	for i := range all {
		all[i] = pick.Candidate{Server: topo.ServerID(rune('a' + i)), Load: loads[i], Weight: weights[i]}
	}
	return all
}

func counts(t *testing.T, all []pick.Candidate) []int {
	random := rand.New(rand.NewPCG(7, 7))
	chosen := make([]int, len(all))
	for range 10_000 {
		i, found := pick.DChoices{D: 2}.Pick(all, random.Float64)
		if !found {
			t.Fatal("no candidate chosen")
		}
		chosen[i]++
	}
	return chosen
}

func TestTwoChoicesPreferTheLessLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	got := counts(t, candidates([]float64{0, 1, 2, 3}, []float64{1, 1, 1, 1}))
	// The k-th of 4 candidates, counted from 1, is picked with probability
	// (2(4-k)+1)/16, because two are drawn with replacement.
	for k, want := range []float64{7, 5, 3, 1} {
		g.Expect(float64(got[k])).To(gomega.BeNumerically("~", want/16*10_000, 300))
	}
}

func TestEjectedServersAreNotChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	got := counts(t, candidates([]float64{0, 1, 1}, []float64{0, 1, 0.1}))
	g.Expect(got[0]).To(gomega.BeZero())
	g.Expect(got[2]).To(gomega.BeNumerically("<", 2000))
	got = counts(t, candidates([]float64{0, 0}, []float64{0, 0}))
	g.Expect(got[0]).To(gomega.BeNumerically(">", 0), "if all are ejected, each may be chosen")
	g.Expect(got[1]).To(gomega.BeNumerically(">", 0))
}
