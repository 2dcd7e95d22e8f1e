package duty

import (
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	group    = metrics.New("gateway_duty")
	calls    = group.Map("calls")
	lessorIs = group.Counter("is_lessor")
)

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
