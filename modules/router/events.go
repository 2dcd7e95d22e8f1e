package router

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventServerEjected    = events.Define(1620, hclog.Warn, "server taken out by what was observed")
	eventNodeEjected      = events.Define(1621, hclog.Warn, "entry node taken out by what was observed")
	eventForeignAnswer    = events.Define(1622, hclog.Error, "answer to another request thrown away")
	eventForwardLoop      = events.Define(1623, hclog.Error, "request forwarded to the node that forwarded it")
	eventUnresponsiveNode = events.Define(1624, hclog.Warn, "connection to entry node made no progress")
	eventForwardRejected  = events.Define(1625, hclog.Warn, "forwarded request could not be read")
	eventDrained          = events.Define(1626, hclog.Info, "router drained: no request in flight")
	eventDrainTimeout     = events.Define(1627, hclog.Warn, "router drain ended with requests in flight")
)
