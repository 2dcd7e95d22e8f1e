package duty

import (
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	group    = metrics.New("gateway_duty")
	calls    = group.Map("calls")
	lessorIs = group.Counter("is_lessor")
	// Of a lessor; all 0 on other nodes.
	grantRanges     = group.Counter("ranges")
	grantUnanswered = group.Counter("ranges_unanswered")
	grantOldest     = group.Counter("oldest_grant_ms")
)

// showGrants tells how old the grants of a lessor are.
func showGrants(ages ranges.GrantAges) {
	grantRanges.Set(int64(ages.Ranges))
	grantUnanswered.Set(int64(ages.Unanswered))
	grantOldest.Set(ages.Oldest.Milliseconds())
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
