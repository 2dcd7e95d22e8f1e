package follow

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var (
	eventStoreLost          = events.Define(2000, hclog.Warn, "store lost")
	eventStoreBack          = events.Define(2001, hclog.Info, "store regained")
	eventInvalidRecord      = events.Define(2002, hclog.Warn, "record cannot be understood and is passed over")
	eventConfig             = events.Define(2010, hclog.Info, "configuration adopted")
	eventServerSeen         = events.Define(2011, hclog.Info, "server registered")
	eventServerLeaving      = events.Define(2012, hclog.Info, "server is draining")
	eventServerLeft         = events.Define(2013, hclog.Info, "server left the register")
	eventTable              = events.Define(2014, hclog.Info, "table of ranges adopted")
	eventSourceLost         = events.Define(2015, hclog.Warn, "no fresh news from the node that is followed")
	eventSourceBack         = events.Define(2016, hclog.Info, "another node is followed")
	eventServerRestarted    = events.Define(2018, hclog.Info, "server started again")
	eventInvalidEntry       = events.Define(2019, hclog.Warn, "entry names no server to use")
	eventEarlierIncarnation = events.Define(2020, hclog.Info, "entry of an earlier run is passed over")
	eventReadingStarted     = events.Define(2021, hclog.Info, "the store is read")
	eventReadingStopped     = events.Define(2022, hclog.Info, "the store is not read any more")
	eventRegistry           = events.Define(2023, hclog.Info, "register of servers adopted")
	eventPeerFailed         = events.Define(2017, hclog.Debug, "call to another node failed")
)

// logConfig logs the configuration that the node applies from now on, and its limits for
// callers' connections.
func logConfig(logger hclog.Logger, config *site.Config, from string, more ...any) {
	fields := []any{
		"version", config.Version, "routes", len(config.Routes), "from", from,
		"headTimeout", config.Limits.HeaderTimeout.String(), "idleTimeout", config.Limits.IdleTimeout.String(),
	}
	eventConfig.Log(logger, append(fields, more...)...)
}
