package peer

import (
	"context"
	"time"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Intervals of asking seed addresses who they are.
const (
	seedRetryEvery   = time.Second
	seedRefreshEvery = 30 * time.Second
)

// seedDuty asks each seed address for its node ID until all are known, and
// again now and then since another node may have taken an address over.
type seedDuty struct {
	client    *client
	addresses []string
}

// run ends with ctx.
func (d *seedDuty) run(ctx context.Context) {
	for {
		wait := seedRefreshEvery
		if !d.askAll(ctx) {
			wait = seedRetryEvery
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// askAll asks every seed and reports whether all have answered.
func (d *seedDuty) askAll(ctx context.Context) bool {
	answers := make(chan bool, len(d.addresses))
	for _, address := range d.addresses {
		go func() { answers <- d.ask(ctx, address) }()
	}
	all := true
	for range d.addresses {
		all = <-answers && all
	}
	return all
}

func (d *seedDuty) ask(ctx context.Context, address string) bool {
	status, err := d.client.status(ctx, target{address: address, kind: core.KindStatus})
	if err != nil {
		return false
	}
	id := topo.NodeID(status.Sender.GetNode())
	if d.client.directory.learnt()[address] != id && id != d.client.directory.self.Node {
		eventSeedResolved.Log(d.client.logger, "address", address, "peer", id)
		d.client.directory.learn(id, address)
	}
	return true
}
