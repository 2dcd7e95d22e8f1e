package planner

import "expvar"

// Metrics of all nodes in this process, under "planner".
var (
	metrics             = expvar.NewMap("planner")
	metricDecisions     = newCounter("decisions")
	metricAssigned      = newCounter("shards_assigned")
	metricRecords       = newCounter("records_submitted")
	metricAssignRefused = newCounter("assignments_without_effect")
	metricAssignUnknown = newCounter("records_of_unknown_fate")
	metricMoves         = newMap("moves_asked") // by reason
	metricMovesFailed   = newCounter("moves_not_taken")
	metricReportsSent   = newCounter("load_reports_sent")
	metricReportsFailed = newCounter("load_reports_failed")
	metricReportsTaken  = newCounter("load_reports_received")
)

func newCounter(name string) *expvar.Int {
	counter := new(expvar.Int)
	metrics.Set(name, counter)
	return counter
}

func newMap(name string) *expvar.Map {
	byName := new(expvar.Map).Init()
	metrics.Set(name, byName)
	return byName
}
