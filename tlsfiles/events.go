package tlsfiles

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventRead    = events.Define(1120, hclog.Info, "changed TLS files are in use")
	eventNotRead = events.Define(1121, hclog.Error, "changed TLS files cannot be used, the earlier ones stay in use")
)
