package peermem_test

import (
	"testing"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/peer/peertest"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

type harness struct{ network *peermem.Network }

func (h harness) Join(_ testing.TB, sender *bspb.Sender, handlers *peer.Handlers) peer.Caller {
	return h.network.Join(sender, handlers)
}

func (h harness) Leave(_ testing.TB, id topo.NodeID)       { h.network.Leave(id) }
func (h harness) Stall(_ testing.TB, from, to topo.NodeID) { h.network.Stall(from, to) }
func (h harness) Cut(_ testing.TB, a, b topo.NodeID)       { h.network.Cut(a, b) }
func (h harness) Heal(testing.TB)                          { h.network.Heal() }

func TestSpecs(t *testing.T) { spectest.Run(t, "peer/peermem") }

var _ = peertest.Describe("peermem", func(t testing.TB) peertest.Harness {
	network := peermem.New(1)
	t.Cleanup(network.Close)
	return harness{network}
})
