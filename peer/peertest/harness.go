// Package peertest tests the contract that every implementation of package peer
// must meet, as a table of Ginkgo specs that includes link faults.
package peertest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Harness creates nodes of one implementation and injects faults into the links
// between them.
type Harness interface {
	// Join starts an incarnation of a node and returns its Caller.
	Join(t testing.TB, sender *bspb.Sender, handlers *peer.Handlers) peer.Caller
	// Leave stops a node, so that calls to it are refused.
	Leave(t testing.TB, id topo.NodeID)
	// Stall stalls the open connections from one node to another permanently; new
	// connections work.
	Stall(t testing.TB, from, to topo.NodeID)
	// Cut stalls open and new connections between two nodes, in both directions.
	Cut(t testing.TB, a, b topo.NodeID)
	// Heal ends the faults for new connections.
	Heal(t testing.TB)
}

// Open returns a new harness without nodes.
type Open func(t testing.TB) Harness

// Describe defines the specs of the whole contract for one implementation.
func Describe(implementation string, open Open) bool {
	return ginkgo.DescribeTable(implementation+" contract",
		func(run func(t testing.TB, h Harness)) {
			t := ginkgo.GinkgoTB()
			run(t, open(t))
		},
		ginkgo.Entry("every kind of call reaches its handler with the sender and is answered", everyKindIsAnswered),
		ginkgo.Entry("a request's own sender field is not changed", requestIsNotChanged),
		ginkgo.Entry("a call to a nil handler is unimplemented", nilHandler),
		ginkgo.Entry("a handler's error is returned as a remote error, sent", handlerError),
		ginkgo.Entry("an unknown node is proven not sent", unknownNode),
		ginkgo.Entry("a node that left is proven not sent", nodeLeft),
		ginkgo.Entry("an ended context is proven not sent", endedContext),
		ginkgo.Entry("a restarted node answers with its new boot", restartedNode),
		ginkgo.Entry("answers match their requests when late ones overtake", answersMatch),
		ginkgo.Entry("a call ends at its deadline while the handler continues", handlerTooSlow),
		ginkgo.Entry("a slow handler does not block other calls", slowHandlerAlone),
		ginkgo.Entry("a stalled connection fails at most one call of each kind", stalledConnection),
		ginkgo.Entry("a cut link fails calls until it heals", cutLink),
		ginkgo.Entry("known lists others, own zone first", knownOrder),
	)
}
