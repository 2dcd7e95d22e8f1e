package planner

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventAssigned       = events.Define(1500, hclog.Info, "unowned shards assigned")
	eventAssignNoEffect = events.Define(1501, hclog.Debug, "assignment had no effect")
	eventAssignUnknown  = events.Define(1502, hclog.Warn, "outcome of assignments is unknown")
	eventMovesRequested = events.Define(1503, hclog.Info, "requesting moves from lessor")
	eventMovesFailed    = events.Define(1504, hclog.Warn, "lessor did not accept all moves")
	eventWaiting        = events.Define(1505, hclog.Info, "service waits for its dependencies")
	eventReportFailed   = events.Define(1506, hclog.Debug, "load report not delivered")
)
