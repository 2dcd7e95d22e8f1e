package kernel

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventModuleStarted = events.Define(1010, hclog.Debug, "module started")
	eventModuleDrained = events.Define(1011, hclog.Debug, "module drained")
	eventModuleStopped = events.Define(1012, hclog.Debug, "module stopped")
)
