package demo

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventStarting  = events.Define(1950, hclog.Info, "demo: site starting")
	eventServing   = events.Define(1951, hclog.Info, "demo: site ready, sending requests")
	eventKilled    = events.Define(1952, hclog.Info, "demo: server killed")
	eventNodeLost  = events.Define(1953, hclog.Info, "demo: entry node killed")
	eventFrozen    = events.Define(1954, hclog.Info, "demo: server frozen")
	eventReturned  = events.Define(1955, hclog.Info, "demo: frozen server resumed")
	eventProgress  = events.Define(1956, hclog.Info, "demo: progress")
	eventViolation = events.Define(1957, hclog.Error, "demo: violation found in the history")
	eventLongest   = events.Define(1958, hclog.Info, "demo: longest unavailable key")
	eventUnsettled = events.Define(1959, hclog.Warn, "demo: keys still unavailable when the wait timed out")
)
