package load

import (
	"time"

	"github.com/burdockspindle/burdockspindle/hotkeys"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Config holds the parameters of a Table.
type Config struct {
	// HalfLife is the time in which an observation loses half of its weight.
	HalfLife time.Duration
	// MaxShards is the maximum number of shards with an average of their own.
	MaxShards int
	// SketchCounters is the number of counters of each service's hot-key sketch.
	SketchCounters int
}

// DefaultConfig returns the parameters for one entry node.
func DefaultConfig() Config {
	return Config{HalfLife: 1500 * time.Millisecond, MaxShards: 1 << 15, SketchCounters: 256}
}

// Table averages the observations of one node: rates and busy times of shards and
// servers, and the hottest keys of each service. It is not safe for
// concurrent use: a Recorder uses it in a single goroutine.
type Table struct {
	config       Config
	meanLifetime float64 // mean lifetime of an observation, in seconds
	shards       map[topo.ShardID]*meter
	servers      map[topo.ServerID]*serverMeter
	sketches     map[topo.Service]*hotkeys.Sketch
	skipped      uint64
}

// serverMeter averages the attempts at one server.
type serverMeter struct {
	run      meter // attempts that may have run
	failures meter // of these, attempts with an unknown outcome
	shed     meter // attempts not run, and requests refused before they were sent
}

// ln2 converts a half-life to a mean lifetime.
const ln2 = 0.6931471805599453

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{
		config:       config,
		meanLifetime: config.HalfLife.Seconds() / ln2,
		shards:       map[topo.ShardID]*meter{},
		servers:      map[topo.ServerID]*serverMeter{},
		sketches:     map[topo.Service]*hotkeys.Sketch{},
	}
}

// Observe counts one attempt at a server; an attempt that was not run counts only
// as shed. See Observer.
func (t *Table) Observe(
	now time.Time, shard topo.ShardID, key string, server topo.ServerID,
	busy time.Duration, outcome serverapi.Outcome,
) {
	t.observeServer(now, server, busy, outcome)
	if outcome == serverapi.OutcomeNotRun || shard.Service == "" {
		return
	}
	t.observeShard(now, shard, busy)
	if shard.Key == "" && key != "" {
		shard.Key = key
		t.sketch(shard.Service).Observe(now, shard, busy)
	}
}

func (t *Table) observeServer(now time.Time, id topo.ServerID, busy time.Duration, outcome serverapi.Outcome) {
	server, known := t.servers[id]
	if !known {
		server = &serverMeter{}
		t.servers[id] = server
	}
	switch outcome {
	case serverapi.OutcomeNotRun:
		server.shed.observe(now, 0, t.meanLifetime)
		return
	case serverapi.OutcomeUnknown:
		server.failures.observe(now, 0, t.meanLifetime)
	}
	server.run.observe(now, busy, t.meanLifetime)
}

// Shed counts requests for a known server that were refused before they were sent.
func (t *Table) Shed(now time.Time, id topo.ServerID, count uint64) {
	server, known := t.servers[id]
	if !known || count == 0 {
		return
	}
	server.shed.observe(now, 0, t.meanLifetime)
	server.shed.count += float64(count - 1) // observe has counted one of them
}

func (t *Table) observeShard(now time.Time, shard topo.ShardID, busy time.Duration) {
	m, known := t.shards[shard]
	if !known {
		if len(t.shards) >= t.config.MaxShards {
			t.skipped++
			return
		}
		m = &meter{}
		t.shards[shard] = m
	}
	m.observe(now, busy, t.meanLifetime)
}

func (t *Table) sketch(service topo.Service) *hotkeys.Sketch {
	sketch, known := t.sketches[service]
	if !known {
		sketch = hotkeys.New(t.config.SketchCounters, t.config.HalfLife)
		t.sketches[service] = sketch
	}
	return sketch
}

// Expire drops the averages that have become negligible, so that shards and
// servers at which no request has recently run do not occupy the table.
func (t *Table) Expire(now time.Time) {
	for id, m := range t.shards {
		if rate, _ := m.rates(now, t.meanLifetime); rate < negligibleRate {
			delete(t.shards, id)
		}
	}
	for id, server := range t.servers {
		if rate, _ := server.run.rates(now, t.meanLifetime); rate < negligibleRate {
			delete(t.servers, id)
		}
	}
}

// negligibleRate is the rate in requests per second below which an average is
// dropped.
const negligibleRate = 0.001

// Skipped returns the number of observations that were not counted for their shard
// because the table was full.
func (t *Table) Skipped() uint64 { return t.skipped }
