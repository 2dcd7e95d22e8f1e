package serverhttp

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// viewOf returns a site of one server and many nodes; node-0 is the lessor of
// the server's group and node-1 the standby lessor.
func viewOf(t *testing.T, nodes int, connections, concurrency uint32) *state.View {
	t.Helper()
	snapshot := &bspb.Snapshot{
		Format: state.SnapshotFormat, Applied: 9, SiteVersion: 1,
		Site: &bspb.SiteConfig{GroupsPerZone: 1, Services: []*bspb.ServiceConfig{{
			Name: "quotes", Keyed: true, Shards: 8, ChecksFencing: true, DeadlineMs: 1000, MaxBodyBytes: 1000,
			ConnectionsPerServer: connections, ConcurrencyPerServer: concurrency,
			Weighting: bspb.Weighting_WEIGHTING_IMBALANCE,
		}}},
		Servers: []*bspb.ServerEntry{{Id: "s1", Service: "quotes", Zone: "z", Address: "127.0.0.1:1", Group: "z/0", Phase: bspb.ServerPhase_SERVER_PHASE_LIVE}},
		Groups:  []*bspb.GroupEntry{{Group: "z/0", Term: &bspb.Ordinal{Offset: 5}, Lessor: "node-0", LessorBoot: "b", Standby: "node-1", StandbyBoot: "b"}},
	}
	for i := range nodes {
		snapshot.Nodes = append(snapshot.Nodes, &bspb.JoinNode{Node: fmt.Sprint("node-", i), Boot: "b", Zone: "z", Region: "r", PeerAddress: "127.0.0.1:1"})
	}
	restored, err := state.Restore(snapshot)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return restored.View()
}

// TestSharesOfAllNodesStayWithinTheServersLimit adds up the shares of all nodes,
// with the lessor and the standby lessor both using theirs.
func TestSharesOfAllNodesStayWithinTheServersLimit(t *testing.T) {
	for _, connections := range []int{4, 6, 10, 100, 130} {
		for _, nodes := range []int{2, 3, 12, 60, 660} {
			g := gomega.NewWithT(t)
			view := viewOf(t, nodes, uint32(connections), 4)
			sum, direct := 0, 0
			for i := range nodes {
				share := ConnectionShare(view, topo.NodeID(fmt.Sprint("node-", i)), "s1")
				sum += share
				if i > 1 && share > 0 {
					direct++
				}
			}
			name := fmt.Sprintf("%d connections, %d nodes", connections, nodes)
			g.Expect(sum).To(gomega.BeNumerically("<=", connections), name)
			g.Expect(ConnectionShare(view, "node-0", "s1")).To(gomega.BeNumerically(">=", 1), name)
			g.Expect(ConnectionShare(view, "node-1", "s1")).To(gomega.Equal(ConnectionShare(view, "node-0", "s1")), name)
			g.Expect(direct).To(gomega.BeNumerically(">=", min(nodes-2, connections/4)), name)
		}
	}
}

// TestDeputiesHaveConnectionsForTheirSlots checks that the share of each node that
// may bypass the lessor covers its slots.
func TestDeputiesHaveConnectionsForTheirSlots(t *testing.T) {
	for _, connections := range []int{4, 6, 10, 100, 130} {
		for _, nodes := range []int{2, 3, 12, 60, 660} {
			view := viewOf(t, nodes, uint32(connections), 4)
			service, _ := view.Service("quotes")
			d := route.Decision{Service: service, Server: "s1", Group: "z/0", Lessor: "node-0"}
			for _, deputy := range route.Deputies(view, d) {
				name := fmt.Sprintf("%d connections, %d nodes, %s", connections, nodes, deputy.Node)
				share := ConnectionShare(view, deputy.Node, "s1")
				gomega.NewWithT(t).Expect(share).To(gomega.BeNumerically(">=", deputy.Slots), name)
			}
		}
	}
}

func TestLessorsShareCoversTheServersConcurrency(t *testing.T) {
	g := gomega.NewWithT(t)
	for nodes, want := range map[int]int{12: 16, 660: 16} {
		g.Expect(ConnectionShare(viewOf(t, nodes, 100, 4), "node-0", "s1")).To(gomega.Equal(want))
	}
	g.Expect(ConnectionShare(viewOf(t, 12, 0, 0), "node-0", "s1")).To(gomega.BeNumerically(">", 16))
	g.Expect(ConnectionShare(viewOf(t, 12, 100, 4), "node-0", "s2")).To(gomega.BeZero(), "unknown server")
}
