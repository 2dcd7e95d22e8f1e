package follower

import (
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

// Events of the follower.
var (
	eventLogFailing         = events.Define(1200, hclog.Warn, "log cannot be read")
	eventLogRecovered       = events.Define(1201, hclog.Info, "log can be read again")
	eventCheckpointRestored = events.Define(1202, hclog.Info, "state restored from a checkpoint in the log")
	eventPeerSnapshot       = events.Define(1203, hclog.Info, "state restored from a peer")
	eventNoCheckpoint       = events.Define(1204, hclog.Error, "log no longer holds what is needed and has no whole checkpoint")
	eventCheckpointDamaged  = events.Define(1205, hclog.Warn, "checkpoint in the log is damaged and is passed over")
	eventCheckpointWritten  = events.Define(1206, hclog.Info, "checkpoint written")
	eventCheckpointFailed   = events.Define(1207, hclog.Warn, "checkpoint not written")
	eventAppendUncertain    = events.Define(1208, hclog.Warn, "answer to an append was lost")
	eventEntrySkipped       = events.Define(1209, hclog.Warn, "entry in the log cannot be read and is passed over")
	eventGap                = events.Define(1210, hclog.Warn, "entries do not follow what was applied")
	eventRewound            = events.Define(1211, hclog.Error, "log ends before what was applied from it")
	eventCaughtUp           = events.Define(1212, hclog.Info, "whole log applied for the first time")
	eventRebaseWritten      = events.Define(1213, hclog.Error, "records were lost for everybody: state published again from this node")
	eventRebased            = events.Define(1214, hclog.Error, "state restarted from a rebase in the log")
	eventSourceChanged      = events.Define(1216, hclog.Info, "log is read through another source")
	eventPeerFailed         = events.Define(1215, hclog.Debug, "peer could not be asked for records")
)
