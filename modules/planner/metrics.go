package planner

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all nodes in this process, under "planner".
var (
	metricGroup         = metrics.New("planner")
	metricDecisions     = metricGroup.Counter("decisions")
	metricAssigned      = metricGroup.Counter("shards_assigned")
	metricRecords       = metricGroup.Counter("records_submitted")
	metricAssignRefused = metricGroup.Counter("assignments_without_effect")
	metricAssignUnknown = metricGroup.Counter("records_of_unknown_fate")
	metricMoves         = metricGroup.Map("moves_asked") // by reason
	metricMovesFailed   = metricGroup.Counter("moves_not_taken")
	metricReportsSent   = metricGroup.Counter("load_reports_sent")
	metricReportsFailed = metricGroup.Counter("load_reports_failed")
	metricReportsTaken  = metricGroup.Counter("load_reports_received")
)
