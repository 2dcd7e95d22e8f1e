package frontend

import "expvar"

// Metrics of all front ends of this process.
var (
	metrics         = expvar.NewMap("frontend")
	metricRequests  = counter("requests")
	metricInFlight  = counter("in_flight")
	metricMalformed = counter("malformed")
	metricAborted   = counter("answers_aborted")
	metricTickets   = counter("tickets_issued")
	metricRefused   = counter("refused_draining")
)

func counter(name string) *expvar.Int {
	variable := new(expvar.Int)
	metrics.Set(name, variable)
	return variable
}
