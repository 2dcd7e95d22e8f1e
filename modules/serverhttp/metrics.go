package serverhttp

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all nodes in this process, under "servers".
var (
	metricGroup           = metrics.New("servers")
	metricAttempts        = metricGroup.Counter("attempts")
	metricNotSent         = metricGroup.Counter("attempts_not_sent")
	metricNoAnswer        = metricGroup.Counter("attempts_without_answer")
	metricNoShare         = metricGroup.Counter("attempts_without_share")
	metricStalled         = metricGroup.Counter("silent_connections")
	metricWrongAnswers    = metricGroup.Counter("wrong_answers")
	metricTruncated       = metricGroup.Counter("truncated_answers")
	metricOpened          = metricGroup.Counter("connections_opened")
	metricDialFailures    = metricGroup.Counter("connections_failed")
	metricControlCalls    = metricGroup.Counter("control_calls")
	metricControlRetries  = metricGroup.Counter("control_retries")
	metricControlFailures = metricGroup.Counter("control_failures")
	metricControlSent     = metricGroup.Counter("control_bytes_sent")
	metricControlReceived = metricGroup.Counter("control_bytes_received")
)
