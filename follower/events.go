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
	eventNoCheckpoint       = events.Define(1204, hclog.Error, "log no longer retains the next record and has no complete checkpoint")
	eventCheckpointDamaged  = events.Define(1205, hclog.Warn, "checkpoint is damaged and is skipped")
	eventCheckpointWritten  = events.Define(1206, hclog.Info, "checkpoint written")
	eventCheckpointFailed   = events.Define(1207, hclog.Warn, "checkpoint not written")
	eventAppendUncertain    = events.Define(1208, hclog.Warn, "append failed with an uncertain outcome")
	eventEntrySkipped       = events.Define(1209, hclog.Warn, "log entry cannot be decoded and is skipped")
	eventGap                = events.Define(1210, hclog.Warn, "entries from a peer do not follow the last applied record")
	eventRewound            = events.Define(1211, hclog.Error, "log ends before a record that was applied from it")
	eventCaughtUp           = events.Define(1212, hclog.Info, "log applied to its end for the first time")
	eventRebaseWritten      = events.Define(1213, hclog.Error, "records were lost on all nodes; this node wrote a rebase record with its state")
	eventRebased            = events.Define(1214, hclog.Error, "state replaced according to a rebase record in the log")
	eventSourceChanged      = events.Define(1216, hclog.Info, "source of log reads changed")
	eventPeerFailed         = events.Define(1215, hclog.Debug, "reading records from a peer failed")
)
