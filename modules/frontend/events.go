package frontend

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventListening     = events.Define(1600, hclog.Info, "front end listening for callers")
	eventDraining      = events.Define(1601, hclog.Info, "front end draining: health endpoint fails")
	eventRefusing      = events.Define(1602, hclog.Info, "front end refuses new requests")
	eventDrained       = events.Define(1603, hclog.Info, "front end drained: no request in flight")
	eventDrainTimeout  = events.Define(1604, hclog.Warn, "front end drain ended with requests in flight")
	eventServeFailed   = events.Define(1605, hclog.Error, "front end listener failed")
	eventAnswerAborted = events.Define(1606, hclog.Debug, "answer aborted: the server's body ended early")
)
