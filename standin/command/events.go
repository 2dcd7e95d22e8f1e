package command

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventLogServes = events.Define(1970, hclog.Info, "stand-in log serves")
	eventVMsServes = events.Define(1971, hclog.Info, "stand-in VM list serves")
	eventAnnounced = events.Define(1972, hclog.Info, "stand-in server is on the VM list")
	eventWithdrawn = events.Define(1973, hclog.Info, "stand-in server's phase changed on the VM list")
	eventNotTold   = events.Define(1974, hclog.Warn, "stand-in VM list did not take a server's phase")
)
