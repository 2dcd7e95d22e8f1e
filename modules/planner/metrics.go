package planner

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all nodes in this process, under "planner".
var (
	metricGroup           = metrics.New("planner")
	metricDecisions       = metricGroup.Counter("decisions")
	metricAssigned        = metricGroup.Counter("shards_assigned")
	metricRecords         = metricGroup.Counter("records_submitted")
	metricAssignNoEffect  = metricGroup.Counter("assignments_without_effect")
	metricAssignUnknown   = metricGroup.Counter("records_of_unknown_fate")
	metricMovesRequested  = metricGroup.Map("moves_asked") // by reason
	metricMovesFailed     = metricGroup.Counter("moves_not_taken")
	metricReportsSent     = metricGroup.Counter("load_reports_sent")
	metricReportsFailed   = metricGroup.Counter("load_reports_failed")
	metricReportsReceived = metricGroup.Counter("load_reports_received")
)
