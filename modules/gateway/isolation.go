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
	eventIsolated = events.Define(2304, hclog.Warn, "the zone is cut off: callers are to go elsewhere")
	eventRejoined = events.Define(2305, hclog.Info, "the zone is no longer cut off")
)

// isolationTimeout ends a try to reach a node of another zone.
const isolationTimeout = 300 * time.Millisecond

// watchIsolation looks whether the node's zone is cut off until ctx ends.
func (m *Front) watchIsolation(ctx context.Context) {
	for clock.Wait(ctx, isolation.LookEvery) {
		look := m.lookAround(ctx)
		isCutOff := look.CutOff() && ctx.Err() == nil
		if m.isCutOff.Swap(isCutOff) == isCutOff {
			continue
		}
		if isCutOff {
			eventIsolated.Log(m.logger, "contactAge", look.Contact, "tried", look.Tried)
		} else {
			eventRejoined.Log(m.logger, "contactAge", look.Contact, "tried", look.Tried, "reached", look.Reached)
		}
	}
}

// lookAround returns what the node sees of the store and of other zones.
func (m *Front) lookAround(ctx context.Context) isolation.Look {
	var look isolation.Look
	look.Contact, look.Known = m.feed.Contact.Age()
	if !look.MustTry() {
		return look
	}
	others := othersOf(m.feed.Self, m.state.Now().Members)
	look.Tried = len(others)
	look.Reached = countReached(ctx, others)
	return look
}

// othersOf returns a few nodes of other zones, at random.
func othersOf(self view.Member, members []view.Member) []view.Member {
	var others []view.Member
	for _, m := range members {
		if m.Zone != self.Zone {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), isolation.Tries)]
}

// countReached returns how many of some nodes take a connection.
func countReached(ctx context.Context, nodes []view.Member) int {
	reached := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() {
			conn, err := upstream.Dialer(isolationTimeout).DialContext(ctx, "tcp", node.Address)
			if err == nil {
				_ = conn.Close() // it carries nothing
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
