package membership

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all nodes in this process, under "membership".
var (
	metricGroup           = metrics.New("membership")
	metricStatusCalls     = metricGroup.Counter("status_calls")
	metricStatusFailed    = metricGroup.Counter("status_calls_failed")
	metricListReads       = metricGroup.Counter("vm_list_reads")
	metricListFailed      = metricGroup.Counter("vm_list_reads_failed")
	metricSubmitted       = metricGroup.Counter("records_submitted")
	metricRefused         = metricGroup.Counter("records_without_effect")
	metricSubmitFailed    = metricGroup.Counter("records_of_unknown_fate")
	metricDeferred        = metricGroup.Counter("decisions_put_off")
	metricNodesRemoved    = metricGroup.Counter("nodes_removed")
	metricLossesConfirmed = metricGroup.Counter("losses_confirmed")
)
