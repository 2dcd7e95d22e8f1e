package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// FaultKind names what happens to servers or zones during a run.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow divides the servers' speed by Factor.
	FaultSlow FaultKind = "slow"
	// FaultLie lets the servers report no load at all, whatever they carry, and
	// divides their speed by Factor.
	FaultLie FaultKind = "lie"
	// FaultShed lets the servers refuse a Share of the requests as overloaded.
	FaultShed FaultKind = "shed"
	// FaultFail lets the servers break a Share of the requests without answer.
	FaultFail FaultKind = "fail"
	// FaultLose stops the servers for good, without a word.
	FaultLose FaultKind = "lose"
	// FaultLoseZone stops every server and entry VM of the zone of index Zone.
	FaultLoseZone FaultKind = "lose-zone"
	// FaultLoseLessor ends the process of the entry VM that leads the group of the
	// zone of index Zone, with Standby its standby lessor's as well. The VM refuses
	// connections at once, and the servers live on.
	FaultLoseLessor FaultKind = "lose-lessor"
	// FaultReplace drains the servers one after another, every Interval, and
	// starts a cold one in the place of each.
	FaultReplace FaultKind = "replace"
	// FaultRestartCold makes the servers cold at once.
	FaultRestartCold FaultKind = "restart-cold"
)

// Fault is one event of a scenario. It hits the servers of a service.
type Fault struct {
	Kind    FaultKind
	At      time.Duration
	Until   time.Duration // 0 for the rest of the run
	Service topo.Service
	// Servers are indices into the service's servers; empty means all.
	Servers  []int
	Factor   float64
	Share    float64
	Interval time.Duration
	Zone     int
	Standby  bool
}
