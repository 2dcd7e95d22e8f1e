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
func registryOf(offset store.Offset, from, to int) view.Servers {
	servers := view.Servers{Offset: offset, Servers: map[site.ServerID]site.Server{}}
	for i := from; i < to; i++ {
		id := site.ServerID(fmt.Sprintf("i-%08x", i*7919))
		servers.Servers[id] = site.Server{ID: id, Service: "welllog", Address: fmt.Sprintf("10.3.64.%d:8081", i%256), Zone: "wdh-a", Slots: 4}
	}
	return servers
}

// send sends the registry of one node to another, and returns the size of the message in
// bytes.
func send(t *testing.T, encoder *serversEncoder, from, to *view.State) int {
	t.Helper()
	g := gomega.NewWithT(t)
	msg := &bspb.FollowRequest{ServersSum: to.Now().ServersSum()}
	reply := &bspb.FollowReply{}
	g.Expect(encoder.encode(reply, msg, from.Now())).To(gomega.Succeed())
	servers, found, err := decodeRegistry(reply, to.Now())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	to.MergeServers(servers)
	g.Expect(to.Now().Servers).To(gomega.Equal(from.Now().Servers))
	return len(reply.Servers) + len(reply.ServersChange.GetPut())
}

// Load: a release replaces 20 of 720 servers per second, and each change is sent to 295
// nodes, 16 of them behind one link of 20 Mbit/s.
func TestChangeOfRegistryIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor, node := view.NewState(), view.NewState()
	var encoder serversEncoder
	lessor.MergeServers(registryOf(100, 0, 720))
	whole := send(t, &encoder, lessor, node)
	g.Expect(whole).To(gomega.BeNumerically("<", 40_000), "bytes of the whole registry")
	for i := 1; i <= 5; i++ {
		lessor.MergeServers(registryOf(store.Offset(100+100*i), 8*i, 720+8*i))
		changed := send(t, &encoder, lessor, node)
		g.Expect(changed).To(gomega.BeNumerically("<", 20_000_000/8/16/5), "bytes of a change: five per second to 16 nodes must fit the link")
	}
}

func TestNodeFarBehindReceivesWholeRegistry(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor, node := view.NewState(), view.NewState()
	var encoder serversEncoder
	lessor.MergeServers(registryOf(100, 0, 720))
	send(t, &encoder, lessor, node)
	other := view.NewState()
	for i := 1; i <= 2*maxRecent; i++ {
		lessor.MergeServers(registryOf(store.Offset(100+100*i), 0, 720+i))
		send(t, &encoder, lessor, other)
	}
	g.Expect(send(t, &encoder, lessor, node)).To(gomega.BeNumerically(">", 5000))
	g.Expect(node.Now().Servers.Servers).To(gomega.HaveLen(720 + 2*maxRecent))
}

// A node's registry may have changed between its call and the response, because it also
// reads the store. It does not apply the change in the response then, and requests it
// again.
func TestChangeOfAnotherRegistryIsNotApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor, node := view.NewState(), view.NewState()
	var encoder serversEncoder
	lessor.MergeServers(registryOf(100, 0, 10))
	send(t, &encoder, lessor, node)
	msg := &bspb.FollowRequest{ServersSum: node.Now().ServersSum()}
	lessor.MergeServers(registryOf(200, 0, 12))
	reply := &bspb.FollowReply{}
	g.Expect(encoder.encode(reply, msg, lessor.Now())).To(gomega.Succeed())
	node.MergeServers(registryOf(150, 5, 10))
	_, found, err := decodeRegistry(reply, node.Now())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeFalse())
	send(t, &encoder, lessor, node)
}
