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
	// NoGuidance leaves out the guidance of the lessor: nodes know what they have measured.
	NoGuidance Policy = "no-guidance"
	// NoBudget resends refused requests to other servers without a budget.
	NoBudget Policy = "no-budget"
	// NoReturnOrder leaves out the schedule and the order of returning callers on a mixed site.
	NoReturnOrder Policy = "no-return-order"
	// NoUrgency serves a mixed service without guidance.
	NoUrgency Policy = "no-urgency"
	// NoAdmission sends less urgent requests only to free slots, and admits all.
	NoAdmission Policy = "no-admission"
)

// Policies returns every policy.
func Policies() []Policy {
	return []Policy{Pooled, RandomServer, FirstCome, NoRefusal, NoEviction, AtLeastOne, NoShares, NoGuidance, NoBudget, NoReturnOrder, NoUrgency, NoAdmission}
}

// Load is a traffic pattern: several nodes, each with a pool of the same servers, and
// callers with random arrival times.
type Load struct {
	Nodes         int
	Servers       []Server
	Rate          func(at time.Duration) float64 // arrivals per second over all nodes; nil: only those of the routes
	Length        time.Duration
	Target        time.Duration // answers after this time are late
	CallerTimeout time.Duration // callers leave after this time; later answers are in vain
	OnlyFirst     bool          // every request is for the first server
	Keyed         bool          // each request is for the owner of its key, one of the servers at random
	// AssumedCapacity is the capacity that the lessor assumes for the owners of keys, relative to
	// their real capacity. If it is 0, the lessor sends no shares.
	AssumedCapacity float64
	// LowPriorityShare is the share of requests with a lower priority.
	LowPriorityShare float64
	// Routes are the routes of requests; if there are any, they replace LowPriorityShare.
	Routes []Route
	// Guidance is what the lessor tells the nodes; the site is mixed if it tells any.
	Guidance Guidance
	// CountFrom and CountTo bound the arrivals of the callers that are counted; 0: all.
	CountFrom, CountTo time.Duration
	// SlowShare is the share of periods of slowPeriod in which the work of a server takes slowFactor times as long.
	SlowShare float64
	// Checks reports that servers tell the pace of their machine, so that nodes check their load before requests.
	Checks bool
	// LostZone is cut off with all of its servers at LostAt: they answer nothing any more. Empty: none.
	LostZone string
	LostAt   time.Duration
	Callers  Callers
	// Resends bounds the resends of nodes; if it is nil, nodes send each request once.
	Resends *budget.Terms
	Policy  Policy
	// NewIDPerIncarnation gives each incarnation of a server its own ID.
	NewIDPerIncarnation bool
	// Trace receives a line for each decision on admissions; nil: none.
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
	Zone  string
	Slots int
	Queue int
	Work  time.Duration // mean
	// Relative is its service time relative to a typical server, which multiplies the work of routes; 0: 1.
	Relative  float64
	ShedShare float64 // share of requests that it refuses regardless of room
	// ShedsWithLoad reports the server's load with a refusal, so that nodes can see that
	// the server is not full.
	ShedsWithLoad  bool
	HangShare      float64       // share of requests that it never answers
	ResetsWhenFull bool          // resets connections when full, which loses the request
	ColdTime       time.Duration // time after the start of the replay during which work takes twice as long
	// CrashEvery is the interval of crashes, which lose the server's requests; 0: never.
	// The server restarts after DownTime.
	CrashEvery, DownTime time.Duration
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
	// Urgent, UrgentInTime and UrgentLate count the requests of the highest priority.
	Urgent, UrgentInTime, UrgentLate int
	Returns                          Returns
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
