package duty

import (
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	group       = metrics.New("gateway_duty")
	calls       = group.Map("calls")
	lessorGauge = group.Counter("is_lessor")
	// Gauges of a lessor; 0 on other nodes.
	rangesGauge      = group.Counter("ranges")
	unansweredGauge  = group.Counter("ranges_unanswered")
	oldestGrantGauge = group.Counter("oldest_grant_ms")
	// Gauges of a lessor that learns the speeds of servers; 0 on other nodes.
	learnedGauge  = group.Counter("servers_with_speed")
	reliableGauge = group.Counter("servers_with_reliable_speed")
	changedGauge  = group.Counter("servers_with_changed_speed")
	limitedGauge  = group.Counter("servers_with_limited_concurrency")
	slowestGauge  = group.Counter("slowest_speed_thousandths")
)

// setGrantMetrics exports the ages of the lessor's grants.
func setGrantMetrics(ages ranges.GrantAges) {
	rangesGauge.Set(int64(ages.Ranges))
	unansweredGauge.Set(int64(ages.Unanswered))
	oldestGrantGauge.Set(ages.Oldest.Milliseconds())
}

func countCall(call ranges.Call, result ranges.Result) {
	kind := "grant"
	if call.Release {
		kind = "release"
	}
	switch {
	case result.Fenced:
		kind += " fenced"
	case result.Failed:
		kind += " failed"
	default:
		kind += " ok"
	}
	calls.Add(kind, 1)
}
