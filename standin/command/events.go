package command

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventLogServing      = events.Define(1970, hclog.Info, "stand-in log is listening")
	eventVMsServing      = events.Define(1971, hclog.Info, "stand-in VM list is listening")
	eventAnnounced       = events.Define(1972, hclog.Info, "stand-in server is on the VM list")
	eventPhaseChanged    = events.Define(1973, hclog.Info, "stand-in server's phase changed on the VM list")
	eventPhaseNotChanged = events.Define(1974, hclog.Warn, "stand-in server's phase could not be changed on the VM list")
)
