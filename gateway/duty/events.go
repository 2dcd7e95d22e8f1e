package duty

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventClaiming             = events.Define(2100, hclog.Info, "claiming the lessor's lease")
	eventLessor               = events.Define(2101, hclog.Info, "this node is the lessor")
	eventClaimLost            = events.Define(2102, hclog.Info, "another node claimed first")
	eventDeposed              = events.Define(2103, hclog.Warn, "another node is the lessor")
	eventResigning            = events.Define(2104, hclog.Info, "giving up the lessor's lease")
	eventResigned             = events.Define(2105, hclog.Info, "gave up the lessor's lease")
	eventAppendFailed         = events.Define(2106, hclog.Warn, "append to the ownership topic failed")
	eventTableChanged         = events.Define(2107, hclog.Info, "ranges changed")
	eventCallFailed           = events.Define(2108, hclog.Warn, "grant or release failed")
	eventMove                 = events.Define(2110, hclog.Info, "moving a range to a less loaded server")
	eventRestart              = events.Define(2111, hclog.Info, "server restarted under the same name")
	eventYielding             = events.Define(2112, hclog.Info, "yielding the lease to a node with more capacity")
	eventShares               = events.Define(2113, hclog.Info, "shares of the requests for busy servers' keys")
	eventHandingOff           = events.Define(2114, hclog.Info, "another node claimed the lease; handing off")
	eventPreviousReported     = events.Define(2115, hclog.Info, "previous lessor reported its outstanding grants")
	eventPreviousUnresponsive = events.Define(2116, hclog.Info, "previous lessor did not report its outstanding grants")
	eventQuarantined          = events.Define(2117, hclog.Warn, "request is quarantined")
	eventEraEnded             = events.Define(2118, hclog.Warn, "append under an era of the store that has ended")
	eventReissued             = events.Define(2119, hclog.Warn, "table of ranges written again in a new era")
	eventReissueEnded         = events.Define(2120, hclog.Warn, "table of ranges cannot be written again; giving up the lease")
	eventAwaitingHolds        = events.Define(2121, hclog.Warn, "no claim before unknown grants have expired")
	eventGuidance             = events.Define(2122, hclog.Info, "guidance for mixed services")
	eventSpeeds               = events.Define(2123, hclog.Info, "estimates of the speeds of servers")
	eventAdmission            = events.Define(2124, hclog.Info, "shares of the requests for a mixed service by priority")
	eventEncodeFailed         = events.Define(2109, hclog.Error, "cannot encode the table of ranges")
)
