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

	eventPublished      = events.Define(1810, hclog.Info, "operator published a site configuration")
	eventPublishRefused = events.Define(1811, hclog.Info, "operator's site configuration refused")
	eventPublishUnknown = events.Define(1812, hclog.Warn, "fate of an operator's site configuration is unknown")
	eventDrainAsked     = events.Define(1820, hclog.Info, "operator asked for a drain")
	eventLossConfirmed  = events.Define(1830, hclog.Warn, "operator confirmed a loss")
	eventLossRefused    = events.Define(1831, hclog.Warn, "operator's confirmation of a loss did not take effect")
	eventMovesAsked     = events.Define(1840, hclog.Info, "operator asked for moves of shards")
	eventMovesRefused   = events.Define(1841, hclog.Info, "operator's moves of shards refused")
)
