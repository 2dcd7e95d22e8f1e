package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/isolation"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

var (
	eventIsolated = events.Define(2304, hclog.Warn, "zone is isolated; reporting not ready to the balancer")
	eventRejoined = events.Define(2305, hclog.Info, "zone is no longer isolated")
)

// isolationDialTimeout bounds an attempt to connect to a node of another zone.
const isolationDialTimeout = 300 * time.Millisecond

// watchIsolation checks periodically whether the node's zone is isolated until ctx ends.
func (f *Front) watchIsolation(ctx context.Context) {
	for clock.Wait(ctx, isolation.SampleInterval) {
		sample := f.checkIsolation(ctx)
		isIsolated := sample.IsIsolated() && ctx.Err() == nil
		if f.isIsolated.Swap(isIsolated) == isIsolated {
			continue
		}
		if isIsolated {
			eventIsolated.Log(f.logger, "contactAge", sample.Contact, "tried", sample.Probed)
		} else {
			eventRejoined.Log(f.logger, "contactAge", sample.Contact, "tried", sample.Probed, "reached", sample.Reached)
		}
	}
}

// checkIsolation returns the age of the node's contact with the store and, if that is too
// old, how many nodes of other zones it reaches.
func (f *Front) checkIsolation(ctx context.Context) isolation.Sample {
	var sample isolation.Sample
	sample.Contact, sample.HasContact = f.feed.Contact.Age()
	if !sample.MustProbe() {
		return sample
	}
	others := sampleOtherZones(f.feed.Self, f.state.Now().Members)
	sample.Probed = len(others)
	sample.Reached = countReachable(ctx, others)
	return sample
}

// sampleOtherZones returns up to isolation.MaxProbes random nodes of other zones.
func sampleOtherZones(self view.Member, members []view.Member) []view.Member {
	var others []view.Member
	for _, m := range members {
		if m.Zone != self.Zone {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), isolation.MaxProbes)]
}

// countReachable returns how many of the nodes accept a connection.
func countReachable(ctx context.Context, nodes []view.Member) int {
	reached := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() {
			conn, err := upstream.Dialer(isolationDialTimeout).DialContext(ctx, "tcp", node.Address)
			if err == nil {
				_ = conn.Close() // no data was sent
			}
			reached <- err == nil
		}()
	}
	count := 0
	for range nodes {
		if <-reached {
			count++
		}
	}
	return count
}
