package ceiling

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a greedy choice: the first source must leave its best sink to the second.
func TestFlowTakesBackEarlierChoices(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork([]int64{1, 1}, []int64{1, 1})
	n.connect(0, 0, 10)
	n.connect(0, 1, 9)
	n.connect(1, 0, 5)
	n.maximize()
	g.Expect(n.links[1].flow + n.links[2].flow).To(gomega.Equal(int64(2)))
}

// Guards against wrong response times. One slot has the known exponential distribution; two slots at 0.5 have equal rates.
func TestResponseTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(newQueueing(1, 0.5, 1).within(2, 1)).To(gomega.BeNumerically("~", 0.63212, 1e-5))
	g.Expect(newQueueing(2, 0.5, 1).within(1, 1)).To(gomega.BeNumerically("~", 0.50949, 1e-5))
}
