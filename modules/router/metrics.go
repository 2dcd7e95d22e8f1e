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
	metricReasons      = metricGroup.Map("reasons")       // by reason, for requests without a server's answer
	metricShed         = metricGroup.Map("shed")          // by reason, requests refused before they were sent
	metricAttempts     = metricGroup.Counter("attempts")  // that this node made at servers
	metricRetries      = metricGroup.Counter("retries")   // charged to the retry budget
	metricRerouted     = metricGroup.Counter("rerouted")  // retried at another owner or lessor
	metricBuffered     = metricGroup.Counter("buffered")  // requests that waited for an owner
	metricForwarded    = metricGroup.Counter("forwarded") // requests forwarded to other nodes
	metricForwardedIn  = metricGroup.Counter("forwarded_in")
	metricDirect       = metricGroup.Counter("direct")    // sent to the server as deputy of an unreachable lessor
	metricDeputized    = metricGroup.Counter("deputized") // forwarded to a deputy
	metricEjections    = metricGroup.Counter("ejections")
	metricInFlight     = metricGroup.Counter("in_flight")
	metricQueued       = metricGroup.Counter("queued")
	metricWaiting      = metricGroup.Counter("waiting_for_owner")
	metricBrokenAnswer = metricGroup.Counter("broken_answers")
	metricForeign      = metricGroup.Counter("foreign_answers")
)

// countAnswer counts an answer that was returned to a caller.
func countAnswer(service topo.Service, answer *exchange.Answer) {
	metricRequests.Add(string(service)+"/"+string(answer.Outcome), 1)
	if answer.Reason != "" {
		metricReasons.Add(string(answer.Reason), 1)
	}
}
