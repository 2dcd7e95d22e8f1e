package router

import (
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/metrics"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Metrics of all routers of this process.
var (
	metricGroup        = metrics.New("router")
	metricRequests     = metricGroup.Map("requests")      // by service/outcome
	metricReasons      = metricGroup.Map("reasons")       // by reason, of what was not answered
	metricShed         = metricGroup.Map("shed")          // by reason, refused before anything was sent
	metricAttempts     = metricGroup.Counter("attempts")  // at servers, by this node
	metricRetries      = metricGroup.Counter("retries")   // that cost budget
	metricRerouted     = metricGroup.Counter("rerouted")  // tried again at another owner or lessor
	metricBuffered     = metricGroup.Counter("buffered")  // waited for an owner
	metricForwarded    = metricGroup.Counter("forwarded") // to other nodes
	metricForwardedIn  = metricGroup.Counter("forwarded_in")
	metricDirect       = metricGroup.Counter("direct")    // sent past an unreachable lessor, as its deputy
	metricDeputized    = metricGroup.Counter("deputized") // forwarded to a deputy
	metricEjections    = metricGroup.Counter("ejections")
	metricInFlight     = metricGroup.Counter("in_flight")
	metricQueued       = metricGroup.Counter("queued")
	metricWaiting      = metricGroup.Counter("waiting_for_owner")
	metricBrokenAnswer = metricGroup.Counter("broken_answers")
	metricForeign      = metricGroup.Counter("foreign_answers")
)

// countAnswer counts what a caller was told.
func countAnswer(service topo.Service, answer *exchange.Answer) {
	metricRequests.Add(string(service)+"/"+string(answer.Outcome), 1)
	if answer.Reason != "" {
		metricReasons.Add(string(answer.Reason), 1)
	}
}
