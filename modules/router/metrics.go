package router

import (
	"expvar"

	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Metrics of all routers of this process.
var (
	metrics            = expvar.NewMap("router")
	metricRequests     = newMap("requests")      // by service/outcome
	metricReasons      = newMap("reasons")       // by reason, of what was not answered
	metricShed         = newMap("shed")          // by reason, refused before anything was sent
	metricAttempts     = newCounter("attempts")  // at servers, by this node
	metricRetries      = newCounter("retries")   // that cost budget
	metricRerouted     = newCounter("rerouted")  // tried again at another owner or lessor
	metricBuffered     = newCounter("buffered")  // waited for an owner
	metricForwarded    = newCounter("forwarded") // to other nodes
	metricForwardedIn  = newCounter("forwarded_in")
	metricDirect       = newCounter("direct") // sent past an unreachable lessor
	metricEjections    = newCounter("ejections")
	metricInFlight     = newCounter("in_flight")
	metricQueued       = newCounter("queued")
	metricWaiting      = newCounter("waiting_for_owner")
	metricBrokenAnswer = newCounter("broken_answers")
	metricForeign      = newCounter("foreign_answers")
)

func newCounter(name string) *expvar.Int {
	variable := new(expvar.Int)
	metrics.Set(name, variable)
	return variable
}

func newMap(name string) *expvar.Map {
	variable := new(expvar.Map).Init()
	metrics.Set(name, variable)
	return variable
}

// countAnswer counts what a caller was told.
func countAnswer(service topo.Service, answer *exchange.Answer) {
	metricRequests.Add(string(service)+"/"+string(answer.Outcome), 1)
	if answer.Reason != "" {
		metricReasons.Add(string(answer.Reason), 1)
	}
}
