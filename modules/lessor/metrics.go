package lessor

import "github.com/burdockspindle/burdockspindle/metrics"

// Metrics of all nodes in this process, under "lessor".
var (
	metricGroup              = metrics.New("lessor")
	metricRenewals           = metricGroup.Counter("renewals_sent")
	metricRenewed            = metricGroup.Counter("renewals_answered")
	metricRefused            = metricGroup.Counter("renewals_refused")
	metricRenewFailed        = metricGroup.Counter("renewals_unanswered")
	metricAcks               = metricGroup.Counter("acknowledgements_sent")
	metricHeartbeats         = metricGroup.Counter("heartbeats_sent")
	metricHeartbeatsFailed   = metricGroup.Counter("heartbeats_unanswered")
	metricHeartbeatsReceived = metricGroup.Counter("heartbeats_received")
	metricPromises           = metricGroup.Counter("promises_given")
	metricProbes             = metricGroup.Counter("probes_sent")
	metricClaims             = metricGroup.Counter("claims_written")
	metricClaimsWon          = metricGroup.Counter("claims_won")
	metricTakeovers          = metricGroup.Counter("takeovers")
	metricTakeoversOffLog    = metricGroup.Counter("takeovers_without_log")
	metricAssigned           = metricGroup.Counter("shards_assigned")
	metricAssignRecords      = metricGroup.Counter("assignment_records")
	metricRejected           = metricGroup.Counter("assignments_rejected")
	metricActivations        = metricGroup.Counter("standby_servers_activated")
	metricModeChanges        = metricGroup.Counter("mode_changes")
	metricRightExpired       = metricGroup.Counter("rights_lapsed")
	metricUnserved           = metricGroup.Counter("unserved_shard_ms")
	metricInboxFull          = metricGroup.Counter("inbox_full")
	metricCallsDeferred      = metricGroup.Counter("calls_put_off")
)
