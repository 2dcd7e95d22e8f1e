package membership

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventJoined           = events.Define(1340, hclog.Info, "joined site")
	eventLeft             = events.Define(1341, hclog.Info, "left site")
	eventLeaveFailed      = events.Define(1342, hclog.Warn, "departure from the site not recorded")
	eventServers          = events.Define(1343, hclog.Info, "servers updated from VM list and server reports")
	eventLossConfirmed    = events.Define(1344, hclog.Warn, "loss of VMs confirmed by VM list")
	eventNodeRemoved      = events.Define(1345, hclog.Warn, "unresponsive node removed")
	eventRefused          = events.Define(1346, hclog.Debug, "membership record had no effect")
	eventSubmitFailed     = events.Define(1347, hclog.Warn, "membership record not confirmed as applied")
	eventRoleAcquired     = events.Define(1348, hclog.Info, "role acquired")
	eventRoleReleased     = events.Define(1349, hclog.Info, "role released")
	eventNodeUnresponsive = events.Define(1350, hclog.Warn, "watched node unresponsive")
	eventNodeResponsive   = events.Define(1351, hclog.Info, "watched node answers again")
)
