package node

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventStarting = events.Define(1000, hclog.Info, "node starting")
	eventStarted  = events.Define(1001, hclog.Info, "node started")
	eventDraining = events.Define(1002, hclog.Info, "node draining")
	eventStopped  = events.Define(1003, hclog.Info, "node stopped")
	eventKilled   = events.Define(1004, hclog.Warn, "node stopped without draining")
)
