package frontend

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all front ends in this process, under "frontend".
var (
	metricGroup     = metrics.New("frontend")
	metricRequests  = metricGroup.Counter("requests")
	metricInFlight  = metricGroup.Counter("in_flight")
	metricMalformed = metricGroup.Counter("malformed")
	metricAborted   = metricGroup.Counter("answers_aborted")
	metricTickets   = metricGroup.Counter("tickets_issued")
	metricRefused   = metricGroup.Counter("refused_draining")
)
