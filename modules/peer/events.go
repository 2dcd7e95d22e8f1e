package peer

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventListening      = events.Define(1300, hclog.Info, "peer listener open")
	eventServeFailed    = events.Define(1301, hclog.Error, "peer listener failed")
	eventStalled        = events.Define(1302, hclog.Warn, "replacing stalled connection to peer")
	eventWrongNode      = events.Define(1303, hclog.Warn, "another node responds at peer's address")
	eventSeedResolved   = events.Define(1304, hclog.Info, "seed address resolved to node")
	eventHandlerFailed  = events.Define(1305, hclog.Warn, "peer call failed in handler")
	eventMisdirected    = events.Define(1306, hclog.Warn, "refused peer call addressed to another node")
	eventUntrusted      = events.Define(1308, hclog.Warn, "refused peer whose certificate is no longer trusted")
	eventShutdownForced = events.Define(1307, hclog.Warn, "peer listener closed with calls in flight")
)
