package load

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Collector merges the load reports of all nodes into a Snapshot for the balancer.
// It does no I/O and is not safe for concurrent use.
type Collector struct {
	maxAge  time.Duration
	reports map[topo.NodeID]nodeReport
}

// nodeReport is the latest report of one node.
type nodeReport struct {
	at   time.Time
	boot topo.BootID
	body *bspb.ReportLoadRequest
}

// NewCollector returns an empty collector that drops reports older than maxAge.
func NewCollector(maxAge time.Duration) *Collector {
	return &Collector{maxAge: maxAge, reports: map[topo.NodeID]nodeReport{}}
}

// Add stores a node's report, which replaces the node's previous report. The
// caller must not modify the report afterwards.
func (c *Collector) Add(now time.Time, report *bspb.ReportLoadRequest) {
	sender := report.GetSender()
	c.reports[topo.NodeID(sender.GetNode())] = nodeReport{
		at: now, boot: topo.BootID(sender.GetBoot()), body: report,
	}
}

// Snapshot is the load that all nodes together observed: of the shards and keys of
// one service, and of all servers.
type Snapshot struct {
	Shards  map[topo.ShardID]ShardRate
	Keys    map[topo.ShardID]ShardRate // hot keys, by hash range and key
	Servers map[topo.ServerID]ServerRate
}

// ShardRate is the load of a shard or a key.
type ShardRate struct {
	PerSecond float64 // requests; for a key, without those that may belong to other keys
	Busy      float64 // mean number of requests in service; 0 for keys
}

// ServerRate is the load of a server.
type ServerRate struct {
	PerSecond float64 // requests that occupied a slot
	InFlight  float64 // mean number of requests in service
	Shed      float64 // requests per second refused because the server was full
	Failed    float64 // attempts per second without a response
}

// MeanBusy returns the mean service time of a request in seconds, or 0 if unknown.
func (s ServerRate) MeanBusy() float64 {
	if s.PerSecond <= 0 {
		return 0
	}
	return s.InFlight / s.PerSecond
}

// OfferedRatio returns the offered load divided by the served load, which is at
// least 1.
func (s ServerRate) OfferedRatio() float64 {
	if s.PerSecond <= 0 {
		return 1
	}
	return 1 + s.Shed/s.PerSecond
}

// Snapshot drops the reports older than maxAge and sums the others, for the shards
// and keys of one service and for all servers.
func (c *Collector) Snapshot(now time.Time, service topo.Service) Snapshot {
	snapshot := Snapshot{
		Shards:  map[topo.ShardID]ShardRate{},
		Keys:    map[topo.ShardID]ShardRate{},
		Servers: map[topo.ServerID]ServerRate{},
	}
	// The nodes are sorted because floating-point sums depend on their order, and
	// decisions must be deterministic.
	for _, node := range slices.Sorted(maps.Keys(c.reports)) {
		report := c.reports[node]
		if now.Sub(report.at) > c.maxAge {
			delete(c.reports, node)
			continue
		}
		snapshot.add(service, report.body)
	}
	return snapshot
}

func (p *Snapshot) add(service topo.Service, report *bspb.ReportLoadRequest) {
	for _, entry := range report.GetShards() {
		if topo.Service(entry.GetShard().GetService()) != service {
			continue
		}
		id := shardIDOf(entry.GetShard())
		sum := p.Shards[id]
		sum.PerSecond += entry.GetPerSecond()
		sum.Busy += entry.GetBusy()
		p.Shards[id] = sum
	}
	for _, entry := range report.GetKeys() {
		if topo.Service(entry.GetShard().GetService()) != service {
			continue
		}
		id := shardIDOf(entry.GetShard())
		id.Key = entry.GetKey()
		sum := p.Keys[id]
		sum.PerSecond += entry.GetPerSecond() - entry.GetErrorPerSecond()
		p.Keys[id] = sum
	}
	for _, entry := range report.GetServers() {
		p.addServer(entry)
	}
}

func (p *Snapshot) addServer(entry *bspb.ServerLoad) {
	sum := p.Servers[topo.ServerID(entry.GetServer())]
	if latency := entry.GetMeanLatencyMs(); latency > 0 {
		sum.PerSecond += entry.GetInFlight() / latency * millisecondsPerSecond
	}
	sum.InFlight += entry.GetInFlight()
	sum.Shed += entry.GetShedPerSecond()
	sum.Failed += entry.GetErrorPerSecond()
	p.Servers[topo.ServerID(entry.GetServer())] = sum
}
