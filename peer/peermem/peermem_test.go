package peermem_test

import (
	"testing"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/peer/peertest"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

type harness struct{ network *peermem.Network }

func (h harness) Join(_ *testing.T, sender *bspb.Sender, handlers *peer.Handlers) peer.Caller {
	return h.network.Join(sender, handlers)
}

func (h harness) Leave(_ *testing.T, id topo.NodeID)         { h.network.Leave(id) }
func (h harness) Silence(_ *testing.T, from, to topo.NodeID) { h.network.Silence(from, to) }
func (h harness) Cut(_ *testing.T, a, b topo.NodeID)         { h.network.Cut(a, b) }
func (h harness) Heal(*testing.T)                            { h.network.Heal() }

func TestContract(t *testing.T) {
	peertest.Run(t, func(t *testing.T) peertest.Harness {
		network := peermem.New(1)
		t.Cleanup(network.Close)
		return harness{network}
	})
}
