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
	metricUncertain      = "appends_uncertain"   // appends whose outcome is uncertain
	metricReappends      = "reappends"           // repeated appends of the same record
	metricNotAppended    = "not_appended"        // records certainly not appended
	metricUnknownOutcome = "unknown_fates"       // records abandoned with an unknown outcome
	metricQueueFull      = "append_queue_full"   // records refused because the queue was full
	metricMerged         = "appends_merged"      // records that shared another's append
	metricReads          = "log_reads"           // successful log reads
	metricReadFailures   = "log_read_failures"   // failed log reads
	metricReadBytes      = "log_read_bytes"      // bytes of entries read from the log
	metricApplied        = "records_applied"     // entries applied
	metricDuplicates     = "entries_duplicate"   // entries received again
	metricSkipped        = "entries_skipped"     // entries that could not be decoded
	metricPeerCatchups   = "peer_catchups"       // batches of records taken from peers
	metricPeerBytes      = "peer_bytes"          // bytes of entries taken from peers
	metricReadsBySource  = "reads_by_source"     // successful reads, by "log" or "relay"
	metricRelayBytes     = "relay_bytes"         // bytes of entries read through relays
	metricRelayFailures  = "relay_failures"      // relay reads without a usable response
	metricRelayBehind    = "relays_behind"       // relay responses whose contact was too old
	metricSourceChanges  = "source_changes"      // changes of the source of log reads
	metricServedBytes    = "served_bytes"        // bytes of entries sent to peers
	metricSnapshots      = "snapshots_served"    // snapshots encoded for peers
	metricCheckpoints    = "checkpoints_written" // checkpoints written
	metricRestores       = "restores"            // states restored from checkpoints or peers
	metricRebases        = "rebases"             // rebases applied
	metricAppliedOffset  = "applied_offset"      // by node
	metricAppliedAgeMs   = "applied_age_ms"      // by node: age of the last contact with the log
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

// Keys of metricReadsBySource.
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
