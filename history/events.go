package history

import (
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Event is one of the types below.
type Event interface {
	// Kind returns the name of the type in the encoded form.
	Kind() Kind
	// When returns the time by which a history is sorted: the event's only time or
	// the start of its interval.
	When() Time
}

// Kind names an event's type in the encoded form.
type Kind string

// Kinds.
const (
	KindOwnerInterval   Kind = "owner-interval"
	KindRunBegan        Kind = "run-began"
	KindRunEnded        Kind = "run-ended"
	KindServerStopped   Kind = "server-stopped"
	KindCallerSent      Kind = "caller-sent"
	KindCallerAnswered  Kind = "caller-answered"
	KindAssignmentKnown Kind = "assignment-known"
	KindSitePublished   Kind = "site-published"
	KindSiteInForce     Kind = "site-in-force"
)

// OwnerInterval is an interval during which a server, by its own clock, held an
// unexpired lease and a grant for a shard under one fence. It is recorded when
// it ends: revoked, replaced by a higher fence, expired, or the incarnation ended. A
// lease that was renewed before it expired is one interval, or several adjacent
// ones.
//
// A Shard without a Key covers every key of its hash range except those in Except;
// a Shard with a Key covers only that key. A run that was in flight when its shard
// was revoked keeps its key owned by the server until the run ends: an interval of
// the split key's ShardID under the hash range's fence.
type OwnerInterval struct {
	Server topo.ServerID `json:"server"`
	Boot   topo.BootID   `json:"boot"`
	Shard  topo.ShardID  `json:"shard"`
	Fence  topo.Fence    `json:"fence"`
	// Except lists the keys of the shard that the grant left out.
	Except []string `json:"except,omitempty"`
	From   Time     `json:"from"`
	Until  Time     `json:"until"` // exclusive
}

// RunBegan is recorded just before a server starts to run a request, after it
// checked its ownership and the ticket.
type RunBegan struct {
	At        Time          `json:"at"`
	Server    topo.ServerID `json:"server"`
	Boot      topo.BootID   `json:"boot"`
	RequestID string        `json:"requestId"` // of the attempt
	// CallerRequest is the caller's name for the request; see
	// HeaderCallerRequest.
	CallerRequest string       `json:"callerRequest"`
	Service       topo.Service `json:"service"`
	Shard         topo.ShardID `json:"shard"` // zero for services not divided by key
	Fence         topo.Fence   `json:"fence"`
	Key           string       `json:"key"`
	Method        string       `json:"method"`
	Ticket        string       `json:"ticket"` // empty without one
}

// RunEnded is recorded after the run has ended and before its answer is sent.
type RunEnded struct {
	// At is the time of the server's last check of its ownership. A committed
	// run is treated as executed at that time. A server may pause between its
	// checks, so RunBegan of a committed run need not lie in an owner interval,
	// but At must.
	At        Time          `json:"at"`
	Server    topo.ServerID `json:"server"`
	Boot      topo.BootID   `json:"boot"`
	RequestID string        `json:"requestId"`
	// Committed is true if the server was still the owner after the run took
	// effect, so that its answer is valid. Otherwise the server answers "unknown".
	Committed bool `json:"committed"`
	// Value is the key's value after the run.
	Value uint64 `json:"value"`
	// BodyDigest is the digest of the request's body, as computed by the server.
	BodyDigest string `json:"bodyDigest"`
}

// ServerStopped is recorded when an incarnation of a server ends: killed, restarted
// or stopped as planned.
type ServerStopped struct {
	At     Time          `json:"at"`
	Server topo.ServerID `json:"server"`
	Boot   topo.BootID   `json:"boot"`
}

// CallerSent is recorded before a caller sends one attempt of its request.
type CallerSent struct {
	At            Time         `json:"at"`
	Caller        string       `json:"caller"`
	CallerRequest string       `json:"callerRequest"`
	Attempt       int          `json:"attempt"` // from 1
	Service       topo.Service `json:"service"`
	Key           string       `json:"key"`
	Method        string       `json:"method"`
	Ticket        string       `json:"ticket"`
	BodyDigest    string       `json:"bodyDigest"`
}

// CallerAnswered is recorded when a caller has received the whole answer to an attempt,
// or a failure. The Echo fields are copied from the answer's body.
type CallerAnswered struct {
	At            Time              `json:"at"`
	Caller        string            `json:"caller"`
	CallerRequest string            `json:"callerRequest"`
	Attempt       int               `json:"attempt"`
	Status        int               `json:"status"` // HTTP status; 0 for none
	Outcome       serverapi.Outcome `json:"outcome"`
	Reason        serverapi.Reason  `json:"reason"`
	Replayed      bool              `json:"replayed"`
	// Whole is false if the body was truncated or failed its own verification.
	Whole             bool   `json:"whole"`
	EchoCallerRequest string `json:"echoCallerRequest"`
	EchoKey           string `json:"echoKey"`
	EchoBodyDigest    string `json:"echoBodyDigest"`
	EchoRequestID     string `json:"echoRequestId"`
	EchoValue         uint64 `json:"echoValue"`
}

// AssignmentKnown is recorded by an entry node when it applies an assignment,
// and with Acknowledged when it reports that the assignment took effect.
type AssignmentKnown struct {
	At           Time          `json:"at"`
	Node         topo.NodeID   `json:"node"`
	Shard        topo.ShardID  `json:"shard"`
	Fence        topo.Fence    `json:"fence"`
	Owner        topo.ServerID `json:"owner"`
	Acknowledged bool          `json:"acknowledged"`
}

// SitePublished is recorded when a publisher receives the outcome of its publication or
// stops waiting for it.
type SitePublished struct {
	Began     Time   `json:"began"` // before the publisher sent it
	At        Time   `json:"at"`
	Publisher string `json:"publisher"`
	Base      uint64 `json:"base"`
	Accepted  bool   `json:"accepted"`
	Unknown   bool   `json:"unknown"` // outcome not received; Accepted is then false
	Version   uint64 `json:"version"` // the new version; 0 when not accepted
	Digest    string `json:"digest"`  // of the text
}

// SiteInForce is recorded by an entry node when a version takes effect.
type SiteInForce struct {
	At      Time        `json:"at"`
	Node    topo.NodeID `json:"node"`
	Boot    topo.BootID `json:"boot"`
	Version uint64      `json:"version"`
	Digest  string      `json:"digest"`
}

// Kind implements Event.
func (OwnerInterval) Kind() Kind { return KindOwnerInterval }

// When implements Event.
func (e OwnerInterval) When() Time { return e.From }

// Kind implements Event.
func (RunBegan) Kind() Kind { return KindRunBegan }

// When implements Event.
func (e RunBegan) When() Time { return e.At }

// Kind implements Event.
func (RunEnded) Kind() Kind { return KindRunEnded }

// When implements Event.
func (e RunEnded) When() Time { return e.At }

// Kind implements Event.
func (ServerStopped) Kind() Kind { return KindServerStopped }

// When implements Event.
func (e ServerStopped) When() Time { return e.At }

// Kind implements Event.
func (CallerSent) Kind() Kind { return KindCallerSent }

// When implements Event.
func (e CallerSent) When() Time { return e.At }

// Kind implements Event.
func (CallerAnswered) Kind() Kind { return KindCallerAnswered }

// When implements Event.
func (e CallerAnswered) When() Time { return e.At }

// Kind implements Event.
func (AssignmentKnown) Kind() Kind { return KindAssignmentKnown }

// When implements Event.
func (e AssignmentKnown) When() Time { return e.At }

// Kind implements Event.
func (SitePublished) Kind() Kind { return KindSitePublished }

// When implements Event.
func (e SitePublished) When() Time { return e.At }

// Kind implements Event.
func (SiteInForce) Kind() Kind { return KindSiteInForce }

// When implements Event.
func (e SiteInForce) When() Time { return e.At }
