package lessor

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventLessor          = events.Define(1400, hclog.Info, "became the lessor of a group")
	eventStandby         = events.Define(1401, hclog.Info, "became the standby lessor of a group")
	eventSteppedDown     = events.Define(1402, hclog.Info, "no longer lessor or standby lessor of a group")
	eventSettled         = events.Define(1403, hclog.Info, "earlier leases of the group are settled")
	eventRightExpired    = events.Define(1404, hclog.Warn, "right to renew leases has expired")
	eventRightRegained   = events.Define(1405, hclog.Info, "right to renew leases regained")
	eventMode            = events.Define(1406, hclog.Warn, "lessor changed its mode")
	eventTookOverOffLog  = events.Define(1407, hclog.Warn, "standby lessor took over without the log")
	eventClaiming        = events.Define(1408, hclog.Info, "claiming the term of a group")
	eventClaimRefused    = events.Define(1409, hclog.Info, "claim had no effect")
	eventClaimFailed     = events.Define(1410, hclog.Warn, "claim was not written")
	eventAssigning       = events.Define(1411, hclog.Info, "writing shard assignments")
	eventAssignFailed    = events.Define(1412, hclog.Warn, "shard assignments were not written")
	eventRejected        = events.Define(1413, hclog.Info, "some shard assignments had no effect")
	eventUnresponsive    = events.Define(1414, hclog.Warn, "backend servers unresponsive")
	eventResponsive      = events.Define(1415, hclog.Info, "backend servers responsive again")
	eventActivated       = events.Define(1416, hclog.Warn, "standby server activated without the log")
	eventMalformedReply  = events.Define(1417, hclog.Warn, "malformed reply from a backend server")
	eventHandedOver      = events.Define(1418, hclog.Info, "terms handed over")
	eventHandoverTimeout = events.Define(1419, hclog.Warn, "terms not handed over in time")
	eventAwaited         = events.Define(1420, hclog.Warn, "shards wait for previous lessors")
)
