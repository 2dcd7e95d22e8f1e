package router

import (
	"time"

	"github.com/burdockspindle/burdockspindle/metrics"
)

// coldKeyRequests counts the attempts to send a request for a key that its owner has taken over without a handover.
var coldKeyRequests = metrics.New("gateway_cold_keys").Counter("attempts")

// isForColdKey reports whether the owner of the request's key has taken it over without a handover, so that the request takes
// longer. Where an owner cannot run all that it is asked for, requests for other keys go first.
func (x *exchange) isForColdKey() bool {
	if !x.router.state.Now().IsColdKey(x.service.name, x.key, time.Now()) {
		return false
	}
	coldKeyRequests.Add(1)
	x.trace.note("key taken over without a handover")
	return true
}
