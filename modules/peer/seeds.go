package peer

import (
	"context"
	"time"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Intervals between Status calls to seed addresses.
const (
	seedRetryEvery   = time.Second
	seedRefreshEvery = 30 * time.Second
)

// seedResolver requests the node ID of each seed address until all are known, and
// periodically after that, because another node may have taken over an address.
type seedResolver struct {
	client    *client
	addresses []string
}

// run resolves the seeds until ctx ends.
func (r *seedResolver) run(ctx context.Context) {
	for {
		wait := seedRefreshEvery
		if !r.resolveAll(ctx) {
			wait = seedRetryEvery
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// resolveAll calls every seed and reports whether all have responded.
func (r *seedResolver) resolveAll(ctx context.Context) bool {
	answers := make(chan bool, len(r.addresses))
	for _, address := range r.addresses {
		go func() { answers <- r.resolve(ctx, address) }()
	}
	all := true
	for range r.addresses {
		all = <-answers && all
	}
	return all
}

func (r *seedResolver) resolve(ctx context.Context, address string) bool {
	status, err := r.client.status(ctx, target{address: address, kind: core.KindStatus})
	if err != nil {
		return false
	}
	id := topo.NodeID(status.Sender.GetNode())
	if r.client.directory.resolvedSeeds()[address] != id && id != r.client.directory.self.Node {
		eventSeedResolved.Log(r.client.logger, "address", address, "peer", id)
		r.client.directory.addSeed(id, address)
	}
	return true
}
