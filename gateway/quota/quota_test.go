package quota

import (
	"testing"

	"github.com/onsi/gomega"
)

// nodes is a node count at which no node observes a server often.
const nodes = 64

func TestServerWithEnoughCapacityHasNoShare(t *testing.T) {
	g := gomega.NewWithT(t)
	shares, changed := New().Update([]Server{{ID: "a", Slots: 6, Demand: 10, Capacity: 15}, {ID: "b", Slots: 6, Capacity: 15}}, nodes)
	g.Expect(changed).To(gomega.BeFalse())
	g.Expect(shares).To(gomega.BeEmpty())
}

func TestShareMatchesTheCapacityOfTheServer(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	busy := Server{ID: "a", Slots: 6, Demand: 150, Capacity: 15, MeanLoad: 10, Answers: 10}
	shares, changed := q.Update([]Server{busy}, nodes)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(shares["a"]).To(gomega.BeNumerically("~", 0.1, 0.001))
	_, changed = q.Update([]Server{busy}, nodes)
	g.Expect(changed).To(gomega.BeFalse(), "unchanged shares are announced once")
	busy.Demand = 5
	shares, changed = q.Update([]Server{busy}, nodes)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(shares).To(gomega.BeEmpty())
}

// Requests that arrived before the share was announced wait in the server's queue, and
// without a lower share would stay there as long as the keys are busy.
func TestShareIsReducedUntilTheQueueIsWorkedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	full := Server{ID: "a", Slots: 6, Demand: 150, Capacity: 15, MeanLoad: 30, Answers: 10}
	shares, _ := New().Update([]Server{full}, nodes)
	g.Expect(shares["a"]).To(gomega.BeNumerically("<", 0.03))
	g.Expect(shares["a"]).To(gomega.BeNumerically(">", 0.01), "the server keeps working meanwhile")
}

// The reported capacity of the server is half of the real one, or the server refuses
// requests although it has room. Other requests must not be refused for that.
func TestShareOfAServerWithIdleSlotsGrowsQuickly(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	idle := Server{ID: "a", Slots: 6, Demand: 30, Capacity: 15, MeanLoad: 3, Answers: 10}
	for range 8 {
		q.Update([]Server{idle}, nodes)
	}
	shares, _ := q.Update([]Server{idle}, nodes)
	g.Expect(shares).To(gomega.BeEmpty(), "the share is dropped after four seconds")
}

func TestNoShareIfNodesObserveTheServerOften(t *testing.T) {
	g := gomega.NewWithT(t)
	busy := Server{ID: "a", Slots: 6, Demand: 150, Capacity: 15}
	shares, _ := New().Update([]Server{busy}, 8)
	g.Expect(shares).To(gomega.BeEmpty())
	shares, _ = New().Update([]Server{busy}, 17)
	g.Expect(shares).To(gomega.HaveKey(busy.ID))
}
