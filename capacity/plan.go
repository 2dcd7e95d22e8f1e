package capacity

import (
	"fmt"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/settings"
)

// Size is the size of a site for which costs are predicted.
type Size struct {
	Nodes    int // entry nodes
	Zones    int
	Servers  int // backend servers
	Shards   int
	Groups   int // groups of servers, each with a lessor and a standby lessor
	Keys     int
	Requests float64 // requests per second
	// Number of events on an ordinary day.
	Losses, Restarts, SiteChanges int
	// HotKeys is the number of hot keys. Each is hot for HotKeyLife.
	HotKeys    int
	HotKeyLife time.Duration
	// MovesPerSecond is the number of shards that the balancer may move per
	// second.
	MovesPerSecond float64
}

// Parameters of the design size that are not part of the users' plan.
const (
	serversPerNode = 3 // the current ratio: 24 and 37 servers for 8 to 12 entry VMs
	designNodes    = 660
	balanceMoves   = 1.0
)

// DesignSize returns the size that the users plan for the next two years.
func DesignSize() Size {
	return Size{
		Nodes: designNodes, Zones: 5, Servers: serversPerNode * designNodes,
		Shards: serversPerNode * designNodes * shardsPerServer,
		Groups: serversPerNode * designNodes / serversPerGroup, Keys: 420_000_000, Requests: 3_500_000,
		Losses: 3, Restarts: 170, SiteChanges: 1_400, HotKeys: 9, HotKeyLife: 2 * time.Minute,
		MovesPerSecond: balanceMoves,
	}
}

// Limits of a node's control work, and of the whole site.
const (
	limitCore       = 0.011     // cores
	limitMemory     = 128 << 20 // bytes
	limitBytes      = 19_000.0  // bytes per second
	limitAppends    = 300.0     // per second; stated as "several hundred"
	limitReads      = 300.0     // per second; that of appends, because none is stated for reads of the log
	limitFailover   = 3 * time.Second
	limitStart      = 7 * time.Second
	recordsPerStart = 4 // join, removal of the earlier incarnation, term, standby lessor
)

// missingFit exceeds every limit.
var missingFit = Fit{Base: math.Inf(1)}

// Prediction is one row of the last table in docs/CAPACITY.md.
type Prediction struct {
	What      string  `json:"what"`
	Limit     float64 `json:"limit"`
	Predicted float64 `json:"predicted"`
	Unit      string  `json:"unit"`
	// Range is the ratio of the predicted size to the largest measured size, see
	// Fit.Range. It is 0 for a prediction computed from settings alone.
	Range float64 `json:"range"`
	Basis string  `json:"basis"`
}

// WithinLimit reports whether the prediction is within its limit.
func (p Prediction) WithinLimit() bool { return p.Predicted <= p.Limit }

// Margin returns the limit divided by the prediction.
func (p Prediction) Margin() float64 { return p.Limit / p.Predicted }

// recordsPerSecond returns the number of records per second that a site of this
// size appends to the log.
func (s Size) recordsPerSecond() float64 {
	const day = 24 * 60 * 60
	starts := float64(s.Losses+s.Restarts) * recordsPerStart
	hotKeyRecords := 2 * float64(s.HotKeys) / s.HotKeyLife.Seconds() // split and merge
	return (starts+float64(s.SiteChanges))/day + hotKeyRecords + s.MovesPerSecond
}

// Predict extrapolates a measurement to a size and compares the results with the
// limits.
func Predict(s Size, m Measurement) []Prediction {
	timing := settings.DefaultTiming()
	expiry := lease.Timing{TTL: timing.LeaseTTL, Margin: timing.Margin, DriftPPM: timing.DriftPPM}.ExpiryWait()
	shards, servers := float64(s.Shards), float64(s.Servers)
	return []Prediction{
		logProcessor(s, m),
		idleProcessor(s, m),
		bytesOfNode(s, m),
		bytesOfRelay(s, m),
		{
			What: "memory of the state on every node", Limit: limitMemory, Unit: "bytes",
			Predicted: m.find("state memory").At(shards), Range: m.find("state memory").Range(shards),
			Basis: "state memory",
		},
		{
			What: "log appends of the site", Limit: limitAppends, Unit: "a second",
			Predicted: s.recordsPerSecond(), Basis: "events of the size, one record each",
		},
		{
			What: "log reads of the site, relays reading", Limit: limitReads, Unit: "a second",
			Predicted: m.find(seriesReads).At(s.readers()), Range: m.find(seriesReads).Range(s.readers()),
			Basis: fmt.Sprintf("%.0f nodes read, one in %d: %s", s.readers(), follower.NodesPerRelay, seriesReads),
		},
		{
			What: "balance decision, one node", Limit: limitCore * 1e6, Unit: "µs of processor a second",
			Predicted: m.find("balance decision by shards").At(shards) * m.find("balance decision by servers").At(servers) /
				m.find("balance decision by servers").At(balanceServers),
			Range: m.find("balance decision by shards").Range(shards), Basis: "balance decision by shards and servers, once a second",
		},
		{
			What: "key served again after its server is lost", Limit: limitFailover.Seconds(), Unit: "s",
			Predicted: (timing.RenewEvery + expiry).Seconds(), Basis: "renewal interval and lapse, before append and grant",
		},
		{
			What: "key served again after server and lessor are lost together", Limit: limitFailover.Seconds(), Unit: "s",
			Predicted: (timing.SuspectAfter + 2*expiry).Seconds(), Basis: "suspicion and two lapses, before append and grant",
		},
		{
			What: "start of a node from a checkpoint", Limit: limitStart.Seconds(), Unit: "s",
			Predicted: m.find("start from a checkpoint").At(shards) / 1e6, Range: m.find("start from a checkpoint").Range(shards),
			Basis: "start from a checkpoint, without reading it",
		},
	}
}

// logProcessor predicts the processor time of a node for following the log.
func logProcessor(s Size, m Measurement) Prediction {
	shards := float64(s.Shards)
	costPerRecord := m.find("move applied and view published").At(shards) + m.find("lessor's facts made anew").At(shards) +
		m.find("record seen by groups without a part").At(float64(s.Nodes))
	return Prediction{
		What: "processor of a node for following the log", Limit: limitCore, Unit: "cores",
		Predicted: s.recordsPerSecond() * costPerRecord / 1e6, Range: m.find("move applied and view published").Range(shards),
		Basis: "records a second × (move applied + lessor's facts made anew + seen by other groups)",
	}
}

// idleProcessor predicts the processor time of a node in an idle site. It divides
// the processor time of the whole site by its nodes, and includes the stand-ins.
func idleProcessor(s Size, m Measurement) Prediction {
	return s.perNode(m, "processor of an idle site", Prediction{
		What: "processor of a node for its duties, no callers", Limit: limitCore, Unit: "cores",
		Basis: "slopes of an idle site by nodes, groups and servers, stand-ins included",
	})
}

// readers returns the number of nodes that read the log directly.
func (s Size) readers() float64 { return float64(readersOf(s.Nodes, s.Zones)) }

// followBytes returns the bytes per second at the sockets of a node that follows a
// relay.
func (s Size) followBytes(m Measurement) float64 {
	followers := float64(s.Nodes) - s.readers()
	if followers == 0 {
		return 0
	}
	const ends = 2 // each byte is counted at the sender and at the receiver
	return m.find(seriesFollow).At(followers) / followers / ends
}

// bytesOfRelay predicts the control bytes at the sockets of a relay: those of a
// node, and those of the nodes that follow the relay.
func bytesOfRelay(s Size, m Measurement) Prediction {
	p := bytesWithoutFollowing(s, m)
	followers := float64(s.Nodes)/s.readers() - 1
	p.What = "control bytes of a relay"
	p.Predicted += followers * s.followBytes(m)
	p.Basis = fmt.Sprintf("the same, and %.1f nodes that follow it", followers)
	return p
}

// bytesOfNode predicts the control bytes at the sockets of a node that follows a
// relay.
func bytesOfNode(s Size, m Measurement) Prediction {
	p := bytesWithoutFollowing(s, m)
	p.Predicted += s.followBytes(m)
	p.Basis = "slopes by nodes, groups and servers, counted at the sockets, and following a relay"
	return p
}

// bytesWithoutFollowing predicts a node's control bytes without reads of the log.
func bytesWithoutFollowing(s Size, m Measurement) Prediction {
	p := s.perNode(m, "bytes between nodes", Prediction{
		What: "control bytes of a node", Limit: limitBytes, Unit: "bytes/s",
	})
	p.Predicted += max(m.find("bytes between nodes and servers by servers").Slope, 0) * float64(s.Servers) / float64(s.Nodes)
	return p
}

// perNode returns the prediction p for one node, as the sum of the slopes of a
// site's figure by nodes, groups and servers. A negative slope is noise and is
// treated as 0.
func (s Size) perNode(m Measurement, figure string, p Prediction) Prediction {
	nodes := float64(s.Nodes)
	byNodes := m.find(figure + " by nodes")
	p.Predicted = max(byNodes.Slope, 0) +
		max(m.find(figure+" by groups").Slope, 0)*float64(s.Groups)/nodes +
		max(m.find(figure+" by servers").Slope, 0)*float64(s.Servers)/nodes
	p.Range = byNodes.Range(nodes)
	return p
}
