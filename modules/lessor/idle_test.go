package lessor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// TestIdleNodesTakeOver loses one lessor after another until nodes that had no part
// in the group and did not watch it become its lessors. It guards against idle members
// that are not woken by changes to their group.
func TestIdleNodesTakeOver(t *testing.T) {
	run(t, oneZone, 7, defaultLimit, func(w *world, g *WithT) {
		idle := map[topo.NodeID]bool{}
		for id, n := range w.nodes {
			member, exists := n.module.worker("a/0")
			g.Expect(exists).To(BeTrue())
			idle[id] = member.idleFacts.Load() != nil
		}
		g.Expect(idle).To(ContainElement(true), "some member is idle")
		woken := false
		for range 5 {
			lost := w.lessorOfA()
			woken = woken || idle[lost.id]
			lost.kill()
			w.waitFor(2*time.Second, "another lessor", func() bool { return w.lessorOfA() != nil })
			w.anyNode().submit(&bspb.Record{Body: &bspb.Record_RemoveNode{
				RemoveNode: &bspb.RemoveNode{Node: string(lost.id), Boot: string(lost.boot)},
			}})
			w.waitFor(5*time.Second, "another standby lessor", func() bool { return w.standby("a/0") != nil })
			time.Sleep(settleTime)
			g.Expect(w.allServed()).To(BeTrue())
			g.Expect(w.gaps(nil)).To(BeZero())
		}
		g.Expect(woken).To(BeTrue(), "an idle member became the lessor")
	})
}
