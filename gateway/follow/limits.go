package follow

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	"github.com/burdockspindle/burdockspindle/metrics"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var limitChanges = metrics.New("gateway_server_limits").Counter("changes")

// mergeLimits applies limits that are newer, and logs what has changed.
func mergeLimits(state *view.State, logger hclog.Logger, limits map[site.ServerID]site.NamedLimit, from string) {
	if len(limits) == 0 {
		return
	}
	for _, change := range state.MergeLimits(limits) {
		limitChanges.Add(1)
		fields := []any{"server", change.Server, "isNamed", change.After.IsNamed, "rate", change.After.Rate, "age", time.Since(change.After.At), "from", from}
		if change.ServerBefore != "" {
			fields = append(fields, "wasNamed", change.Before.IsNamed, "rateBefore", change.Before.Rate, "serverBefore", change.ServerBefore)
		}
		eventLimit.Log(logger, fields...)
	}
}

// limitMessages returns limits for another node.
func limitMessages(limits map[site.ServerID]site.NamedLimit) []*bspb.ServerLimit {
	now := time.Now()
	var messages []*bspb.ServerLimit
	for id, limit := range limits {
		messages = append(messages, &bspb.ServerLimit{
			Server: string(id), Rate: limit.Rate, Lifted: !limit.IsNamed, AgeMs: uint32(now.Sub(limit.At).Milliseconds()),
		})
	}
	return messages
}

// limitsOf returns the limits in a message of another node.
func limitsOf(messages []*bspb.ServerLimit) map[site.ServerID]site.NamedLimit {
	now := time.Now()
	limits := make(map[site.ServerID]site.NamedLimit, len(messages))
	for _, m := range messages {
		at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
		limits[site.ServerID(m.Server)] = site.NamedLimit{Rate: m.Rate, IsNamed: !m.Lifted, At: at}
	}
	return limits
}
