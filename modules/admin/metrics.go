package admin

import "expvar"

// Metrics of all administration APIs of this process.
var (
	metrics            = expvar.NewMap("admin")
	metricRequests     = counter("requests")
	metricUnauthorized = counter("unauthorized")
	metricPublished    = counter("sites_published")
	metricConflicts    = counter("site_conflicts")
	metricInvalid      = counter("sites_invalid")
	metricNotAppended  = counter("records_not_appended")
	metricUnknown      = counter("records_of_unknown_fate")
	metricLosses       = counter("losses_confirmed")
	metricMoves        = counter("moves_asked")
)

func counter(name string) *expvar.Int {
	variable := new(expvar.Int)
	metrics.Set(name, variable)
	return variable
}
