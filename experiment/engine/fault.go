package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// FaultKind names a kind of fault of servers or zones.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow divides the servers' speed by Factor.
	FaultSlow FaultKind = "slow"
	// FaultLie makes the servers report no load, whatever their load is, and
	// divides their speed by Factor.
	FaultLie FaultKind = "lie"
	// FaultShed makes the servers refuse a Share of the requests as overloaded.
	FaultShed FaultKind = "shed"
	// FaultFail makes the servers break a Share of the requests without an answer.
	FaultFail FaultKind = "fail"
	// FaultLose stops the servers permanently and without notice.
	FaultLose FaultKind = "lose"
	// FaultLoseZone stops every server and entry VM of the zone of index Zone.
	FaultLoseZone FaultKind = "lose-zone"
	// FaultLoseLessor ends the process of the entry VM that is the lessor of the group of the
	// zone of index Zone, and with Standby also that of its standby lessor. The VM refuses
	// connections at once, and the servers keep running.
	FaultLoseLessor FaultKind = "lose-lessor"
	// FaultReplace drains the servers one after another, every Interval, and
	// starts a cold replacement for each.
	FaultReplace FaultKind = "replace"
	// FaultRestartCold makes the servers cold immediately.
	FaultRestartCold FaultKind = "restart-cold"
)

// Fault is one fault of a scenario. It affects the servers of a service.
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
