package lessor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// TestNodesAtRestTakeOver loses the lessor, and then the one after it, until
// nodes that had no part in the group and did not watch it have become its
// lessors: news of the group reaches members that rest.
func TestNodesAtRestTakeOver(t *testing.T) {
	run(t, oneZone, 7, limit, func(w *world, g *WithT) {
		atRest := map[topo.NodeID]bool{}
		for id, n := range w.nodes {
			one, exists := n.module.worker("a/0")
			g.Expect(exists).To(BeTrue())
			atRest[id] = one.resting.Load() != nil
		}
		g.Expect(atRest).To(ContainElement(true), "some member rests")
		woken := false
		for range 5 {
			lost := w.lessorOfA()
			woken = woken || atRest[lost.id]
			lost.kill()
			w.until(2*time.Second, "another lessor", func() bool { return w.lessorOfA() != nil })
			w.anyNode().submit(&bspb.Record{Body: &bspb.Record_RemoveNode{
				RemoveNode: &bspb.RemoveNode{Node: string(lost.id), Boot: string(lost.boot)},
			}})
			w.until(5*time.Second, "another standby lessor", func() bool { return w.standby("a/0") != nil })
			time.Sleep(rest)
			g.Expect(w.allServed()).To(BeTrue())
			g.Expect(w.gaps(nil)).To(BeZero())
		}
		g.Expect(woken).To(BeTrue(), "a member at rest became the lessor")
	})
}
