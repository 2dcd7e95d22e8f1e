package lessor

import "expvar"

// Metrics of all nodes in this process, under "lessor".
var (
	metrics             = expvar.NewMap("lessor")
	metricRenewals      = newCounter("renewals_sent")
	metricRenewed       = newCounter("renewals_answered")
	metricRefused       = newCounter("renewals_refused")
	metricRenewFailed   = newCounter("renewals_unanswered")
	metricAcks          = newCounter("acknowledgements_sent")
	metricHeartbeats    = newCounter("heartbeats_sent")
	metricHeartFailed   = newCounter("heartbeats_unanswered")
	metricHeartReceived = newCounter("heartbeats_received")
	metricPromises      = newCounter("promises_given")
	metricProbes        = newCounter("probes_sent")
	metricClaims        = newCounter("claims_written")
	metricClaimsWon     = newCounter("claims_won")
	metricTakeovers     = newCounter("takeovers")
	metricWentOn        = newCounter("takeovers_without_log")
	metricAssigned      = newCounter("shards_assigned")
	metricAssignRecords = newCounter("assignment_records")
	metricRejected      = newCounter("assignments_rejected")
	metricActivations   = newCounter("standby_servers_activated")
	metricModeChanges   = newCounter("mode_changes")
	metricRightLost     = newCounter("rights_lapsed")
	metricUnserved      = newCounter("unserved_shard_ms")
	metricInboxFull     = newCounter("inbox_full")
	metricCallsFull     = newCounter("calls_put_off")
)

func newCounter(name string) *expvar.Int {
	counter := new(expvar.Int)
	metrics.Set(name, counter)
	return counter
}
