package admin

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var (
	eventSiteInForce = events.Define(1110, hclog.Info, "site configuration in force")

	eventListening    = events.Define(1800, hclog.Info, "administration API listening")
	eventServeFailed  = events.Define(1801, hclog.Error, "administration listener failed")
	eventUnauthorized = events.Define(1802, hclog.Warn, "administration request without a valid token")

	eventPublished        = events.Define(1810, hclog.Info, "operator published a site configuration")
	eventPublishRefused   = events.Define(1811, hclog.Info, "operator's site configuration refused")
	eventPublishUncertain = events.Define(1812, hclog.Warn, "outcome of an operator's site configuration is unknown")
	eventDrainRequested   = events.Define(1820, hclog.Info, "operator requested a drain")
	eventLossConfirmed    = events.Define(1830, hclog.Warn, "operator confirmed a loss")
	eventLossRefused      = events.Define(1831, hclog.Warn, "operator's confirmation of a loss did not take effect")
	eventMovesRequested   = events.Define(1840, hclog.Info, "operator requested shard moves")
	eventMovesRefused     = events.Define(1841, hclog.Info, "operator's shard moves refused")
)
