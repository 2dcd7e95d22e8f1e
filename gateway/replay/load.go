// Package replay drives the decisions of packages pool and budget with simulated
// servers and callers, on a simulated clock and from a seed, so that each decision
// can be compared with what happens without it. It does no I/O.
package replay

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

// Policy selects the decision that is left out.
type Policy string

// Policies. Each policy except Pooled leaves one decision out.
const (
	Pooled Policy = "pool"
	// RandomServer sends each request immediately to a random server.
	RandomServer Policy = "blind"
	// FirstCome sends waiting requests in order of arrival, regardless of their priority
	// and their remaining time.
	FirstCome Policy = "first-come"
	// NoRefusal lets every request wait until its caller leaves.
	NoRefusal Policy = "no-refusal"
	// NoEviction refuses requests on arrival but evicts none that wait.
	NoEviction Policy = "no-eviction"
	// AtLeastOne keeps the initial limit of each node, which is one request or more, by
	// ignoring reported load and refusals for lack of room.
	AtLeastOne Policy = "at-least-one"
	// NoShares limits a busy server by the limits of the individual nodes only.
	NoShares Policy = "no-shares"
	// NoBudget resends refused requests to other servers without a budget.
	NoBudget Policy = "no-budget"
	// NoUrgency serves a mixed service without guidance.
	NoUrgency Policy = "no-urgency"
	// NoAdmission sends less urgent requests only to free slots, and admits all.
	NoAdmission Policy = "no-admission"
)

// Policies returns every policy.
func Policies() []Policy {
	return []Policy{Pooled, RandomServer, FirstCome, NoRefusal, NoEviction, AtLeastOne, NoShares, NoBudget, NoUrgency, NoAdmission}
}

// Load is a traffic pattern: several nodes, each with a pool of the same servers, and
// callers with random arrival times.
type Load struct {
	Nodes         int
	Servers       []Server
	Rate          func(at time.Duration) float64 // arrivals per second over all nodes
	Length        time.Duration
	Target        time.Duration // answers after this time are late
	CallerTimeout time.Duration // callers leave after this time; later answers are in vain
	OnlyFirst     bool          // every request is for the first server
	// AssumedCapacity is the capacity that the lessor assumes for the first server, relative to
	// its real capacity. If it is 0, the lessor sends no shares.
	AssumedCapacity float64
	// LowPriorityShare is the share of requests with a lower priority.
	LowPriorityShare float64
	Callers          Callers
	// Resends bounds the resends of nodes; if it is nil, nodes send each request once.
	Resends *budget.Terms
	Policy  Policy
	// NewIDPerIncarnation gives each incarnation of a server its own ID.
	NewIDPerIncarnation bool
	// Mixed replaces the callers by those of several classes.
	Mixed Mixed
	// Trace receives a line for each decision of the lessor of a mixed load; nil: none.
	Trace func(line string) `json:"-"`
}

// Callers describes how callers retry after an answer which guarantees that the request has
// not run. Callers whose request may have run do not retry.
type Callers struct {
	Retries int // of each request; 0: none
	// ImmediateShare is the share of callers that retry immediately and more often, whatever retry
	// delay they received. The others accept the delay up to a third of the time that they
	// have left.
	ImmediateShare float64
}

// Server runs requests in slots and queues the others. It refuses requests when the queue
// is full.
type Server struct {
	Zone      string
	Slots     int
	Queue     int
	Work      time.Duration // mean
	ShedShare float64       // share of requests that it refuses regardless of room
	// ShedsWithLoad reports the server's load with a refusal, so that nodes can see that
	// the server is not full.
	ShedsWithLoad  bool
	HangShare      float64       // share of requests that it never answers
	ResetsWhenFull bool          // resets connections when full, which loses the request
	ColdTime       time.Duration // time after the start of the replay during which work takes twice as long
	// CrashEvery is the interval of crashes, which lose the server's requests; 0: never.
	// The server restarts after DownTime.
	CrashEvery, DownTime time.Duration
	// Slowness is the service time relative to a typical server, of mixed loads; 0: 1.
	Slowness float64
}

// Result counts the outcomes of the requests.
type Result struct {
	Asked      int
	InTime     int
	Late       int // answered after the target
	InVain     int // run by a server although the caller had left
	Refused    int // times that a node refused
	Overflow   int // times that a server was full
	Shed       int // times that a server refused with room
	Lost       int // lost in a crash or reset by a server
	NotReached int // times that a server accepted no connection
	Hung       int // never answered
	CrossZone  int // sent to another zone
	Sends      int // to servers
	Left       int // callers that timed out in a node's queue
	// Unserved is the time that refused requests and those of callers that left spent at a
	// node.
	Unserved time.Duration
	// Urgent and UrgentInTime count the requests of the higher priority.
	Urgent, UrgentInTime int
	UrgentLate           int
}

// String implements fmt.Stringer.
func (r Result) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d times a server was full, %d to another zone", r.Asked, r.InTime, r.Late, r.Refused, r.Overflow, r.CrossZone)
}

// UnservedMean returns the mean time that refused requests and those of callers that left
// spent at a node.
func (r Result) UnservedMean() time.Duration {
	return r.Unserved / time.Duration(max(1, r.Refused+r.Left))
}
