package serverhttp

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventMoved = events.Define(1710, hclog.Info, "server has a new address")
)
