package capacity

import (
	"fmt"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/settings"
)

// Size is a site to predict for.
type Size struct {
	Nodes    int // entry nodes
	Zones    int
	Servers  int // backend servers
	Shards   int
	Groups   int // of servers, each with a lessor and a standby lessor
	Keys     int
	Requests float64 // a second
	// Events of an ordinary day.
	Losses, Restarts, SiteChanges int
	// HotKeys change once in HotKeyLife.
	HotKeys    int
	HotKeyLife time.Duration
	// MovesPerSecond is how many shards the balancer may move.
	MovesPerSecond float64
}

// Numbers of the design size that the users did not give.
const (
	serversPerNode = 3 // as today: 24 and 37 servers for 8 to 12 entry VMs
	designNodes    = 660
	balanceMoves   = 1.0
)

// DesignSize is the users' plan for the next two years.
func DesignSize() Size {
	return Size{
		Nodes: designNodes, Zones: 5, Servers: serversPerNode * designNodes,
		Shards: serversPerNode * designNodes * shardsPerServer,
		Groups: serversPerNode * designNodes / serversPerGroup, Keys: 420_000_000, Requests: 3_500_000,
		Losses: 3, Restarts: 170, SiteChanges: 1_400, HotKeys: 9, HotKeyLife: 2 * time.Minute,
		MovesPerSecond: balanceMoves,
	}
}

// Limits of what a node may spend for control, and of the whole site.
const (
	limitCore       = 0.011
	limitMemory     = 128 << 20
	limitBytes      = 19_000.0
	limitAppends    = 300.0 // a second; "several hundred"
	limitReads      = 300.0 // a second; the log's reads are not promised, taken as appends
	limitServed     = 3 * time.Second
	limitForce      = 7 * time.Second
	recordsPerStart = 4 // join, removal of the earlier run, term, standby lessor
)

// missingFit fails every limit.
var missingFit = Fit{Base: math.Inf(1)}

// Prediction is one row of the page's last table.
type Prediction struct {
	What      string  `json:"what"`
	Limit     float64 `json:"limit"`
	Predicted float64 `json:"predicted"`
	Unit      string  `json:"unit"`
	// Range is how far the largest size measured was exceeded, see Fit.Range;
	// 0 for plain arithmetic on settings.
	Range float64 `json:"range"`
	Basis string  `json:"basis"`
}

// Holds reports whether the prediction is within its limit.
func (p Prediction) Holds() bool { return p.Predicted <= p.Limit }

// Margin is the limit divided by the prediction.
func (p Prediction) Margin() float64 { return p.Limit / p.Predicted }

// records is how many records a second the size writes to the log.
func (s Size) records() float64 {
	const day = 24 * 60 * 60
	starts := float64(s.Losses+s.Restarts) * recordsPerStart
	hot := 2 * float64(s.HotKeys) / s.HotKeyLife.Seconds() // split and merge
	return (starts+float64(s.SiteChanges))/day + hot + s.MovesPerSecond
}

// Predict compares what was measured, at a size, with the limits.
func Predict(s Size, m Measurement) []Prediction {
	timing := settings.DefaultTiming()
	lapse := lease.Timing{TTL: timing.LeaseTTL, Margin: timing.Margin, DriftPPM: timing.DriftPPM}.LapseWait()
	shards, servers := float64(s.Shards), float64(s.Servers)
	return []Prediction{
		control(s, m),
		idle(s, m),
		bytesOfNode(s, m),
		bytesOfRelay(s, m),
		{
			What: "memory of the state on every node", Limit: limitMemory, Unit: "bytes",
			Predicted: m.find("state memory").At(shards), Range: m.find("state memory").Range(shards),
			Basis: "state memory",
		},
		{
			What: "log appends of the site", Limit: limitAppends, Unit: "a second",
			Predicted: s.records(), Basis: "events of the size, one record each",
		},
		{
			What: "log reads of the site, relays reading", Limit: limitReads, Unit: "a second",
			Predicted: m.find(seriesReads).At(s.readers()), Range: m.find(seriesReads).Range(s.readers()),
			Basis: fmt.Sprintf("%.0f nodes read, one in %d: %s", s.readers(), follower.NodesPerRelay, seriesReads),
		},
		{
			What: "balance decision, one node", Limit: limitCore * 1e6, Unit: "µs of processor a second",
			Predicted: m.find("balance decision by shards").At(shards) * m.find("balance decision by servers").At(servers) /
				m.find("balance decision by servers").At(serversOfBalance),
			Range: m.find("balance decision by shards").Range(shards), Basis: "balance decision by shards and servers, once a second",
		},
		{
			What: "key served again after its server is lost", Limit: limitServed.Seconds(), Unit: "s",
			Predicted: (timing.RenewEvery + lapse).Seconds(), Basis: "renewal interval and lapse, before append and grant",
		},
		{
			What: "key served again after server and lessor are lost together", Limit: limitServed.Seconds(), Unit: "s",
			Predicted: (timing.SuspectAfter + 2*lapse).Seconds(), Basis: "suspicion and two lapses, before append and grant",
		},
		{
			What: "start of a node from a checkpoint", Limit: limitForce.Seconds(), Unit: "s",
			Predicted: m.find("start from a checkpoint").At(shards) / 1e6, Range: m.find("start from a checkpoint").Range(shards),
			Basis: "start from a checkpoint, without reading it",
		},
	}
}

// control is the processor time of following the log.
func control(s Size, m Measurement) Prediction {
	shards := float64(s.Shards)
	each := m.find("move applied and view published").At(shards) + m.find("lessor's facts made anew").At(shards) +
		m.find("record seen by groups without a part").At(float64(s.Nodes))
	return Prediction{
		What: "processor of a node for following the log", Limit: limitCore, Unit: "cores",
		Predicted: s.records() * each / 1e6, Range: m.find("move applied and view published").Range(shards),
		Basis: "records a second × (move applied + lessor's facts made anew + seen by other groups)",
	}
}

// idle is what a whole idle site spends, split over its nodes. It holds the
// stand-ins' share too.
func idle(s Size, m Measurement) Prediction {
	return s.perNode(m, "processor of an idle site", Prediction{
		What: "processor of a node for its duties, no callers", Limit: limitCore, Unit: "cores",
		Basis: "slopes of an idle site by nodes, groups and servers, stand-ins included",
	})
}

// readers is how many nodes read the log themselves.
func (s Size) readers() float64 { return float64(readersOf(s.Nodes, s.Zones)) }

// followBytes is what a node that follows a relay costs at its sockets.
func (s Size) followBytes(m Measurement) float64 {
	followers := float64(s.Nodes) - s.readers()
	if followers == 0 {
		return 0
	}
	const ends = 2 // each byte is counted where it is sent and where it is received
	return m.find(seriesFollow).At(followers) / followers / ends
}

// bytesOfRelay is what a relay's sockets carry beside the mean node's duties.
func bytesOfRelay(s Size, m Measurement) Prediction {
	p := bytesWithoutFollowing(s, m)
	each := float64(s.Nodes)/s.readers() - 1
	p.What = "control bytes of a relay"
	p.Predicted += each * s.followBytes(m)
	p.Basis = fmt.Sprintf("the same, and %.1f nodes that follow it", each)
	return p
}

// bytesOfNode is a node's control bytes at its sockets.
func bytesOfNode(s Size, m Measurement) Prediction {
	p := bytesWithoutFollowing(s, m)
	p.Predicted += s.followBytes(m)
	p.Basis = "slopes by nodes, groups and servers, counted at the sockets, and following a relay"
	return p
}

// bytesWithoutFollowing is a node's control bytes but for reads of the log.
func bytesWithoutFollowing(s Size, m Measurement) Prediction {
	p := s.perNode(m, "bytes between nodes", Prediction{
		What: "control bytes of a node", Limit: limitBytes, Unit: "bytes/s",
	})
	p.Predicted += max(m.find("bytes between nodes and servers by servers").Slope, 0) * float64(s.Servers) / float64(s.Nodes)
	return p
}

// perNode adds up the slopes of a whole site's figure by nodes, groups and
// servers, for one node. A slope below 0 is noise and counts as 0.
func (s Size) perNode(m Measurement, figure string, p Prediction) Prediction {
	nodes := float64(s.Nodes)
	byNodes := m.find(figure + " by nodes")
	p.Predicted = max(byNodes.Slope, 0) +
		max(m.find(figure+" by groups").Slope, 0)*float64(s.Groups)/nodes +
		max(m.find(figure+" by servers").Slope, 0)*float64(s.Servers)/nodes
	p.Range = byNodes.Range(nodes)
	return p
}
