package server

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventStarted   = events.Define(1910, hclog.Info, "stand-in server started")
	eventStopped   = events.Define(1911, hclog.Info, "stand-in server stopped")
	eventKilled    = events.Define(1912, hclog.Info, "stand-in server killed")
	eventRestarted = events.Define(1913, hclog.Info, "stand-in server restarted empty")
	eventFrozen    = events.Define(1914, hclog.Info, "stand-in server frozen")
	eventUnfrozen  = events.Define(1915, hclog.Info, "stand-in server unfrozen")
	eventStalled   = events.Define(1916, hclog.Info, "stand-in server's open connections stalled")
	eventFaults    = events.Define(1917, hclog.Info, "stand-in server's faults set")
)
