package router

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventServerEjected    = events.Define(1620, hclog.Warn, "server ejected after observed failures")
	eventNodeEjected      = events.Define(1621, hclog.Warn, "entry node ejected after observed failures")
	eventForeignAnswer    = events.Define(1622, hclog.Error, "answer to another request discarded")
	eventForwardLoop      = events.Define(1623, hclog.Error, "request forwarded back to its sender")
	eventUnresponsiveNode = events.Define(1624, hclog.Warn, "connection to entry node made no progress")
	eventForwardRejected  = events.Define(1625, hclog.Warn, "forwarded request could not be read")
	eventDrained          = events.Define(1626, hclog.Info, "router drained: no requests in flight")
	eventDrainTimeout     = events.Define(1627, hclog.Warn, "router drain ended with requests in flight")
)
