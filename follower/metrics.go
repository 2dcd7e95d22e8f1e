package follower

import (
	"expvar"

	"github.com/burdockspindle/burdockspindle/topo"
)

// metrics are the counters of every follower in this process.
var metrics = expvar.NewMap("follower")

// Names of counters.
const (
	metricAppends        = "appends"             // records appended
	metricAppendBytes    = "append_bytes"        // bytes of records appended
	metricUncertain      = "appends_uncertain"   // appends whose answer was lost
	metricReappends      = "reappends"           // appends of the same record again
	metricNotAppended    = "not_appended"        // records proven not to be appended
	metricUnknownOutcome = "unknown_fates"       // records given up with an unknown fate
	metricQueueFull      = "append_queue_full"   // records refused because the queue was full
	metricMerged         = "appends_merged"      // records that shared another's append
	metricReads          = "log_reads"           // log reads answered
	metricReadFailures   = "log_read_failures"   // log reads without an answer
	metricReadBytes      = "log_read_bytes"      // bytes of entries read from the log
	metricApplied        = "records_applied"     // entries applied
	metricDuplicates     = "entries_duplicate"   // entries received again
	metricSkipped        = "entries_skipped"     // entries that could not be read
	metricPeerCatchups   = "peer_catchups"       // batches of records taken from peers
	metricPeerBytes      = "peer_bytes"          // bytes of entries taken from peers
	metricReadsBySource  = "reads_by_source"     // reads answered: "log", or "relay"
	metricRelayBytes     = "relay_bytes"         // bytes of entries read through relays
	metricRelayFailures  = "relay_failures"      // relays without a usable answer
	metricRelayBehind    = "relays_behind"       // relays whose contact was too old
	metricSourceChanges  = "source_changes"      // turns to another source of the log
	metricServedBytes    = "served_bytes"        // bytes of entries given to peers
	metricSnapshots      = "snapshots_served"    // snapshots given to peers
	metricCheckpoints    = "checkpoints_written" // checkpoints written
	metricRestores       = "restores"            // states restored from checkpoints or peers
	metricRebases        = "rebases"             // rebases applied
	metricAppliedOffset  = "applied_offset"      // by node
	metricAppliedAgeMs   = "applied_age_ms"      // by node: since the last contact with the log
)

var (
	appliedOffsets = new(expvar.Map).Init()
	appliedAges    = new(expvar.Map).Init()
	readsBySource  = new(expvar.Map).Init()
)

func init() {
	metrics.Set(metricReadsBySource, readsBySource)
	metrics.Set(metricAppliedOffset, appliedOffsets)
	metrics.Set(metricAppliedAgeMs, appliedAges)
}

// Sources by which reads are counted.
const (
	sourceLog   = "log"
	sourceRelay = "relay"
)

func countSource(name string) { readsBySource.Add(name, 1) }

func offsetOf(m *expvar.Map, node topo.NodeID) *expvar.Int {
	m.Add(string(node), 0)
	return m.Get(string(node)).(*expvar.Int)
}

func count(name string, delta int) { metrics.Add(name, int64(delta)) }
