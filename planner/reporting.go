package planner

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// FanIn is how many nodes report their load to one. With 9, 660 nodes are three
// steps below the planner.
const FanIn = 9

// Parents lists whom a node reports its load to, best first: the candidates of
// the planner's role form a heap of FanIn children each, and a node whose
// parent does not answer tries those further up. The first candidate, and a
// node that is none, has no parent.
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

// Reporting says how often nodes report their load and how large a report may
// be.
type Reporting struct {
	Every time.Duration
	Bytes int // of one report
}

// MaxAge is how long a report counts.
func (r Reporting) MaxAge() time.Duration { return r.Every * 5 / 2 }

// smallSiteNodes is the number of nodes up to which reports may be frequent.
const smallSiteNodes = 24

// ReportingFor returns how a site of some nodes reports. A node takes the
// reports of up to FanIn others: on a large site that is 9 times 4 KiB in 5 s,
// 7.4 KB of the 19 KB a second that a node may spend on control.
func ReportingFor(nodes int) Reporting {
	if nodes <= smallSiteNodes {
		return Reporting{Every: time.Second, Bytes: 4 << 10}
	}
	return Reporting{Every: 5 * time.Second, Bytes: 4 << 10}
}
