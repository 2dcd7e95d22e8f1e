// Package replay drives the decisions of packages pool and budget with simulated
// servers and callers, on a simulated clock and from a seed, so that each decision
// can be compared with what happens without it. It does no I/O.
package replay

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

// Policy says which decision is left out.
type Policy string

// Policies. All others but Pooled leave one decision out.
const (
	Pooled Policy = "pool"
	// Blind sends to a random server at once.
	Blind Policy = "blind"
	// FirstCome sends waiters in the order in which they came, whatever their
	// priority and the time that they have left.
	FirstCome Policy = "first-come"
	// NoRefusal lets every request wait until its caller leaves.
	NoRefusal Policy = "no-refusal"
	// NoEviction refuses requests when they come but none that waits.
	NoEviction Policy = "no-eviction"
	// AtLeastOne has each node keep its first limit, which is one request or more:
	// it hears neither of load nor of refusals for lack of room.
	AtLeastOne Policy = "at-least-one"
	// NoShares leaves a busy server to the limits of each node.
	NoShares Policy = "no-shares"
	// NoBudget sends what was refused to other servers whatever it costs.
	NoBudget Policy = "no-budget"
)

// Policies returns every policy.
func Policies() []Policy {
	return []Policy{Pooled, Blind, FirstCome, NoRefusal, NoEviction, AtLeastOne, NoShares, NoBudget}
}

// Load is a pattern: several nodes, each with a pool of the same servers, and
// callers that arrive at random.
type Load struct {
	Nodes   int
	Servers []Server
	Rate    func(at time.Duration) float64 // arrivals a second over all nodes
	Length  time.Duration
	Target  time.Duration // answers that come later are late
	Patient time.Duration // answers that come later are in vain
	Only    bool          // every request is for the first server
	// SaidToRun is the part of what the first server can run that the lessor takes it to
	// run; 0: it tells no shares.
	SaidToRun float64
	// LessUrgent is the share of requests with a lower priority.
	LessUrgent float64
	Callers    Callers
	// Resends bounds what nodes send again; nil: nodes send once.
	Resends *budget.Terms
	Policy  Policy
	// Renamed gives each run of a server a name of its own.
	Renamed bool
}

// Callers says how callers return after an answer that promises that the request
// has not run. Those whose request may have run do not return.
type Callers struct {
	Retries int // of each request; 0: none
	// AtOnce is the share of callers that return at once, whatever they were
	// told, and more often. The others wait as told, up to a third of the time
	// that they have left.
	AtOnce float64
}

// Server runs requests in slots, the others wait in a queue; when that is full it
// refuses.
type Server struct {
	Zone  string
	Slots int
	Queue int
	Work  time.Duration // mean
	Sheds float64       // share of requests that it refuses
	// ShedsWithLoad has it tell its load when it refuses with room, so that nodes
	// can see that it is not full.
	ShedsWithLoad bool
	Hangs         float64       // share of requests that it never answers
	Resets        bool          // it resets connections when it is full: the request is lost
	Cold          time.Duration // time after the start of the replay in which work takes twice as long
	// CrashEvery is how often it ends and takes its requests with it; 0: never. It
	// starts again after Down.
	CrashEvery, Down time.Duration
}

// Result counts what became of the requests.
type Result struct {
	Asked      int
	InTime     int
	Late       int // answered after the target
	InVain     int // run by a server although the caller had left
	Refused    int // times that a node refused
	Overflow   int // times that a server was full
	Shed       int // times that a server refused with room
	Lost       int // ended with a server or reset by it
	NotReached int // times that a server took no connection
	Hung       int // never answered
	CrossZone  int // sent to another zone
	Sends      int // to servers
	Left       int // callers that left a node's queue when their time was over
	// Unserved is the time that those that were refused or left spent at a node.
	Unserved time.Duration
	// Urgent and UrgentInTime count the requests of the higher priority.
	Urgent, UrgentInTime int
}

// String implements fmt.Stringer.
func (r Result) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d times a server was full, %d to another zone", r.Asked, r.InTime, r.Late, r.Refused, r.Overflow, r.CrossZone)
}

// UnservedMean returns how long those that were refused or left spent at a node.
func (r Result) UnservedMean() time.Duration {
	return r.Unserved / time.Duration(max(1, r.Refused+r.Left))
}
