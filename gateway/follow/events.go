package follow

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var (
	eventStoreLost          = events.Define(2000, hclog.Warn, "store unavailable")
	eventStoreBack          = events.Define(2001, hclog.Info, "store available again")
	eventInvalidRecord      = events.Define(2002, hclog.Warn, "invalid record is skipped")
	eventConfig             = events.Define(2010, hclog.Info, "configuration adopted")
	eventServerSeen         = events.Define(2011, hclog.Info, "server registered")
	eventServerLeaving      = events.Define(2012, hclog.Info, "server is draining")
	eventServerLeft         = events.Define(2013, hclog.Info, "server left the registry")
	eventTable              = events.Define(2014, hclog.Info, "table of ranges adopted")
	eventSourceLost         = events.Define(2015, hclog.Warn, "no recent data from the followed node")
	eventSourceBack         = events.Define(2016, hclog.Info, "following another node")
	eventServerRestarted    = events.Define(2018, hclog.Info, "server restarted")
	eventInvalidEntry       = events.Define(2019, hclog.Warn, "invalid server entry")
	eventEarlierIncarnation = events.Define(2020, hclog.Info, "entry of an earlier incarnation is skipped")
	eventReadingStarted     = events.Define(2021, hclog.Info, "started reading the store")
	eventReadingStopped     = events.Define(2022, hclog.Info, "stopped reading the store")
	eventRegistry           = events.Define(2023, hclog.Info, "registry of servers adopted")
	eventQuarantine         = events.Define(2024, hclog.Info, "quarantined requests changed")
	eventEvacuation         = events.Define(2025, hclog.Info, "evacuated zones changed")
	eventLimit              = events.Define(2026, hclog.Info, "limit of a server changed")
	eventLeaving            = events.Define(2027, hclog.Info, "server is about to end, by its own answer")
	eventEra                = events.Define(2028, hclog.Warn, "store has come back from a copy")
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
