package serverhttp

import "expvar"

// Metrics of all nodes in this process, under "servers".
var (
	metrics               = expvar.NewMap("servers")
	metricAttempts        = newCounter("attempts")
	metricNotSent         = newCounter("attempts_not_sent")
	metricNoAnswer        = newCounter("attempts_without_answer")
	metricNoShare         = newCounter("attempts_without_share")
	metricSilent          = newCounter("silent_connections")
	metricWrongAnswers    = newCounter("wrong_answers")
	metricTruncated       = newCounter("truncated_answers")
	metricOpened          = newCounter("connections_opened")
	metricDialFailures    = newCounter("connections_failed")
	metricControlCalls    = newCounter("control_calls")
	metricControlRetries  = newCounter("control_retries")
	metricControlFailures = newCounter("control_failures")
	metricControlSent     = newCounter("control_bytes_sent")
	metricControlReceived = newCounter("control_bytes_received")
)

func newCounter(name string) *expvar.Int {
	counter := new(expvar.Int)
	metrics.Set(name, counter)
	return counter
}
