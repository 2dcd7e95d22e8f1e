package vmshttp

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventUnavailable    = events.Define(1320, hclog.Warn, "VM list unavailable")
	eventAvailableAgain = events.Define(1321, hclog.Info, "VM list available again")
	eventRowsSkipped    = events.Define(1322, hclog.Warn, "VM list contains unusable rows")
)
