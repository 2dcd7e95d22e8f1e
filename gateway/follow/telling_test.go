package follow

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// registryOf returns a registry of the servers with numbers in [from, to).
func registerOf(offset store.Offset, from, to int) view.Servers {
	servers := view.Servers{Offset: offset, Servers: map[site.ServerID]site.Server{}}
	for i := from; i < to; i++ {
		id := site.ServerID(fmt.Sprintf("i-%08x", i*7919))
		servers.Servers[id] = site.Server{ID: id, Service: "welllog", Address: fmt.Sprintf("10.3.64.%d:8081", i%256), Zone: "wdh-a", Slots: 4}
	}
	return servers
}

// send sends the registry of one node to another, and returns the size of the message in
// bytes.
func told(t *testing.T, teller *serversTeller, from, to *view.State) int {
	t.Helper()
	g := gomega.NewWithT(t)
	asked := &bspb.FollowRequest{ServersSum: to.Now().ServersSum()}
	reply := &bspb.FollowReply{}
	g.Expect(teller.tell(reply, asked, from.Now())).To(gomega.Succeed())
	servers, found, err := toldRegister(reply, to.Now())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	to.MergeServers(servers)
	g.Expect(to.Now().Servers).To(gomega.Equal(from.Now().Servers))
	return len(reply.Servers) + len(reply.ServersChange.GetPut())
}

// Load: a release replaces 20 of 720 servers per second, and each change is sent to 295
// nodes, 16 of them behind one link of 20 Mbit/s.
func TestAChangeOfTheRegisterIsToldInFewBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor, node := view.NewState(), view.NewState()
	var teller serversTeller
	lessor.MergeServers(registerOf(100, 0, 720))
	whole := told(t, &teller, lessor, node)
	g.Expect(whole).To(gomega.BeNumerically("<", 40_000), "bytes of the whole register")
	for i := 1; i <= 5; i++ {
		lessor.MergeServers(registerOf(store.Offset(100+100*i), 8*i, 720+8*i))
		changed := told(t, &teller, lessor, node)
		g.Expect(changed).To(gomega.BeNumerically("<", 20_000_000/8/16/5), "bytes of a change: five a second to 16 nodes fit the link")
	}
}

func TestANodeThatIsFarBehindIsToldTheWholeRegister(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor, node := view.NewState(), view.NewState()
	var teller serversTeller
	lessor.MergeServers(registerOf(100, 0, 720))
	told(t, &teller, lessor, node)
	other := view.NewState()
	for i := 1; i <= 2*mostRecent; i++ {
		lessor.MergeServers(registerOf(store.Offset(100+100*i), 0, 720+i))
		told(t, &teller, lessor, other)
	}
	g.Expect(told(t, &teller, lessor, node)).To(gomega.BeNumerically(">", 5000))
	g.Expect(node.Now().Servers.Servers).To(gomega.HaveLen(720 + 2*mostRecent))
}

// A node's registry may have changed between its call and the response, because it also
// reads the store. It does not apply the change in the response then, and requests it
// again.
func TestAChangeOfAnotherRegisterIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor, node := view.NewState(), view.NewState()
	var teller serversTeller
	lessor.MergeServers(registerOf(100, 0, 10))
	told(t, &teller, lessor, node)
	asked := &bspb.FollowRequest{ServersSum: node.Now().ServersSum()}
	lessor.MergeServers(registerOf(200, 0, 12))
	reply := &bspb.FollowReply{}
	g.Expect(teller.tell(reply, asked, lessor.Now())).To(gomega.Succeed())
	node.MergeServers(registerOf(150, 5, 10))
	_, found, err := toldRegister(reply, node.Now())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeFalse())
	told(t, &teller, lessor, node)
}
