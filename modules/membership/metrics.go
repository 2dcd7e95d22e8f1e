package membership

import "expvar"

// Metrics of all nodes in this process, under "membership".
var (
	metrics            = expvar.NewMap("membership")
	metricProbes       = newCounter("status_calls")
	metricProbeFailed  = newCounter("status_calls_failed")
	metricListReads    = newCounter("vm_list_reads")
	metricListFailed   = newCounter("vm_list_reads_failed")
	metricSubmitted    = newCounter("records_submitted")
	metricRefused      = newCounter("records_without_effect")
	metricSubmitFailed = newCounter("records_of_unknown_fate")
	metricPutOff       = newCounter("decisions_put_off")
	metricNodesRemoved = newCounter("nodes_removed")
	metricLossesTold   = newCounter("losses_confirmed")
)

func newCounter(name string) *expvar.Int {
	counter := new(expvar.Int)
	metrics.Set(name, counter)
	return counter
}
