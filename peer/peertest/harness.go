// Package peertest is the contract that every implementation of package peer
// meets, as tests to run against it, with the faults of links in tables.
package peertest

import (
	"testing"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Harness builds nodes of one implementation and breaks the links between
// them.
type Harness interface {
	// Join starts a run of a node and returns its Caller.
	Join(t *testing.T, sender *bspb.Sender, handlers *peer.Handlers) peer.Caller
	// Leave ends a node's run, so that calls to it are refused.
	Leave(t *testing.T, id topo.NodeID)
	// Silence makes the open connections from one node to another silent for
	// good; new ones work.
	Silence(t *testing.T, from, to topo.NodeID)
	// Cut makes the open connections and new ones silent, both ways.
	Cut(t *testing.T, a, b topo.NodeID)
	// Heal lets new connections work again.
	Heal(t *testing.T)
}

// Run runs the whole contract; newHarness is called for each test.
func Run(t *testing.T, newHarness func(t *testing.T) Harness) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newHarness(t)) })
	}
}

type contractCase struct {
	name string
	run  func(t *testing.T, h Harness)
}

var cases = []contractCase{
	{"every kind of call reaches its handler with the sender and is answered", everyKindIsAnswered},
	{"a request's own sender field is not changed", requestIsNotChanged},
	{"a call to a nil handler is unimplemented", nilHandler},
	{"a handler's error comes back as remote, sent", handlerError},
	{"an unknown node is proven not sent", unknownNode},
	{"a node that left is proven not sent", nodeLeft},
	{"an ended context is proven not sent", endedContext},
	{"a restarted node answers with its new boot", restartedNode},
	{"answers match their requests when late ones overtake", answersMatch},
	{"a call ends at its deadline while the handler goes on", handlerTooSlow},
	{"a slow handler does not hold up other calls", slowHandlerAlone},
	{"a silent connection costs one call of each kind at most", silentConnection},
	{"a cut link fails calls until it heals", cutLink},
	{"known lists others, own zone first", knownOrder},
}
