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
	eventResigned             = events.Define(2105, hclog.Info, "lessor's lease given up")
	eventAppendFailed         = events.Define(2106, hclog.Warn, "append to the ownership topic failed")
	eventTableChanged         = events.Define(2107, hclog.Info, "ranges changed")
	eventCallFailed           = events.Define(2108, hclog.Warn, "grant or release failed")
	eventMove                 = events.Define(2110, hclog.Info, "range is moved to a less loaded server")
	eventRestart              = events.Define(2111, hclog.Info, "a server has started again under its name")
	eventYielding             = events.Define(2112, hclog.Info, "the lease is to go to a stronger node")
	eventShares               = events.Define(2113, hclog.Info, "shares of the requests for busy servers' keys")
	eventHandingOff           = events.Define(2114, hclog.Info, "another node has claimed the lease: handing off")
	eventPreviousReported     = events.Define(2115, hclog.Info, "the former lessor told what it had granted")
	eventPreviousUnresponsive = events.Define(2116, hclog.Info, "the former lessor did not tell what it had granted")
	eventEncodeFailed         = events.Define(2109, hclog.Error, "table of ranges cannot be encoded")
)
