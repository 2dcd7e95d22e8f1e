package settings

import (
	"time"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

func readLimits(o *jsonc.Object) Limits {
	limits := Limits{
		MaxBodyBytes:     o.Get("maxBodyBytes").Int(DefaultMaxBodyBytes, 1, maxBodyBytes),
		MaxQueued:        readCount(o.Get("maxQueued"), DefaultMaxQueued),
		MaxBuffered:      readCount(o.Get("maxBuffered"), DefaultMaxBuffered),
		MaxInFlight:      readCount(o.Get("maxInFlight"), DefaultMaxInFlight),
		RetryBudget:      o.Get("retryBudget").Float(DefaultRetryBudget, 0, 1),
		DrainDelay:       o.Get("drainDelay").Duration(DefaultDrainDelay, 0, maxInterval),
		DrainTimeout:     o.Get("drainTimeout").Duration(DefaultDrainTimeout, minInterval, maxTimeout),
		StallTimeout:     o.Get("silentAfter").Duration(DefaultStallTimeout, minInterval, maxTimeout),
		ConnectTimeout:   o.Get("connectTimeout").Duration(DefaultConnectTimeout, minInterval, maxInterval),
		MaxHeaderBytes:   int(o.Get("maxHeaderBytes").Int(DefaultMaxHeaderBytes, minHeaderBytes, maxHeaderBytes)),
		MemoryLimitBytes: o.Get("memoryLimitBytes").Int(0, 0, maxMemoryBytes),
	}
	o.Close()
	return limits
}

func readCount(value *jsonc.Value, defaultValue int64) int {
	return int(value.Int(defaultValue, 1, maxCount))
}

func readTiming(value *jsonc.Value) Timing {
	o := value.Object()
	timing := Timing{
		LeaseTTL:        readInterval(o.Get("leaseTTL"), DefaultLeaseTTL),
		RenewEvery:      readInterval(o.Get("renewEvery"), DefaultRenewEvery),
		HeartbeatEvery:  readInterval(o.Get("heartbeatEvery"), DefaultHeartbeatEvery),
		SuspectAfter:    readInterval(o.Get("suspectAfter"), DefaultSuspectAfter),
		DriftPPM:        int(o.Get("driftPPM").Int(DefaultDriftPPM, minDriftPPM, maxDriftPPM)),
		Margin:          readInterval(o.Get("margin"), DefaultMargin),
		VMPollEvery:     readInterval(o.Get("vmPollEvery"), DefaultVMPollEvery),
		CheckpointEvery: int(o.Get("checkpointEvery").Int(DefaultCheckpointEvery, minCheckpointEvery, maxCheckpointEvery)),
		LogRelays:       int(o.Get("logRelays").Int(DefaultLogRelays, 0, maxLogRelays)),
	}
	o.Close()
	checkTiming(o, timing)
	return timing
}

func readInterval(value *jsonc.Value, defaultValue time.Duration) time.Duration {
	return value.Duration(defaultValue, minInterval, maxInterval)
}

// checkTiming rejects combinations of intervals that are valid only individually.
func checkTiming(o *jsonc.Object, t Timing) {
	minTTL := renewalsPerTTL*t.RenewEvery + t.Margin
	if t.LeaseTTL <= minTTL {
		text := "leaseTTL " + t.LeaseTTL.String() + " must be above 3 × renewEvery + margin = " + minTTL.String() + ", or a lease expires after one lost renewal"
		o.FirstPresent("leaseTTL", "renewEvery", "margin").Problem(text)
	}
	minSuspectAfter := heartbeatsPerSuspicion * t.HeartbeatEvery
	if t.SuspectAfter <= minSuspectAfter {
		text := "suspectAfter " + t.SuspectAfter.String() + " must be above 2 × heartbeatEvery = " + minSuspectAfter.String() + ", or one lost heartbeat raises suspicion"
		o.FirstPresent("suspectAfter", "heartbeatEvery").Problem(text)
	}
	if t.SuspectAfter >= t.LeaseTTL {
		text := "suspectAfter " + t.SuspectAfter.String() + " must be below leaseTTL = " + t.LeaseTTL.String() + ", or the leases of a failed lessor expire before it is suspected"
		o.FirstPresent("suspectAfter", "leaseTTL").Problem(text)
	}
}
