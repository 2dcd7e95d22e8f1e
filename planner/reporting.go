package planner

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// FanIn is the number of nodes that report their load to one parent. With 9, all
// of 660 nodes are at most three steps below the planner.
const FanIn = 9

// Parents lists the nodes to which a node may report its load, in order of
// preference. The candidates for the planner's role form a heap with FanIn
// children per node, and a node whose parent does not respond tries the ancestors
// above it. The first candidate has no parent, nor has a node that is not a
// candidate.
func Parents(candidates []topo.NodeID, self topo.NodeID) []topo.NodeID {
	at := slices.Index(candidates, self)
	if at < 0 {
		return nil
	}
	var parents []topo.NodeID
	for at > 0 {
		at = (at - 1) / FanIn
		parents = append(parents, candidates[at])
	}
	return parents
}

// Reporting is the interval at which nodes report their load and the maximum size
// of a report.
type Reporting struct {
	Interval time.Duration
	MaxBytes int // of one report
}

// MaxAge returns how long a report is valid.
func (r Reporting) MaxAge() time.Duration { return r.Interval * 5 / 2 }

// smallSiteNodes is the number of nodes up to which reports may be frequent.
const smallSiteNodes = 24

// ReportingFor returns the reporting parameters for a site with the given number
// of nodes. A node receives the reports of up to FanIn others: on a large site
// these are 9 reports of 4 KiB in 5 s, which is 7.4 KB/s of the 19 KB/s that a
// node may use for control traffic.
func ReportingFor(nodes int) Reporting {
	if nodes <= smallSiteNodes {
		return Reporting{Interval: time.Second, MaxBytes: 4 << 10}
	}
	return Reporting{Interval: 5 * time.Second, MaxBytes: 4 << 10}
}
