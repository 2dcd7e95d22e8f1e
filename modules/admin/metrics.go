package admin

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all administration APIs in this process.
var (
	metricGroup        = metrics.New("admin")
	metricRequests     = metricGroup.Counter("requests")
	metricUnauthorized = metricGroup.Counter("unauthorized")
	metricPublished    = metricGroup.Counter("sites_published")
	metricConflicts    = metricGroup.Counter("site_conflicts")
	metricInvalid      = metricGroup.Counter("sites_invalid")
	metricNotAppended  = metricGroup.Counter("records_not_appended")
	metricUnknown      = metricGroup.Counter("records_of_unknown_fate")
	metricLosses       = metricGroup.Counter("losses_confirmed")
	metricMoves        = metricGroup.Counter("moves_asked")
)
