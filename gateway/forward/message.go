// Package forward defines how a node that cannot connect to a server sends a caller's request by
// way of another node of the site: the messages between the two, and the choice of the other
// node. It has no I/O and no clock.
//
// A request travels as the body of a POST request to Path of the other node's listener for nodes,
// with the caller's headers and a Request in Header. A node of a release without this path
// answers 404, which proves that the request has not run. The answer has the server's status,
// headers and body, or those of the node's own refusal, and an Answer in Header.
package forward

import (
	"encoding/base64"
	"encoding/json"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// Path is the path of forwarded requests on a node's listener for nodes.
	Path = "/burdockspindle/forward"
	// ProbePath is the path of requests to connect to a server.
	ProbePath = "/burdockspindle/probe"
	// Header carries a message of this package.
	Header = "Burdockspindle-Forward"
)

// Request is what a forwarded request states beside the caller's headers, body and remaining
// time.
type Request struct {
	Node   string `json:"node"`   // that forwards
	Boot   string `json:"boot"`   // of that node
	ToBoot string `json:"toBoot"` // of the incarnation that shall serve the request
	Method string `json:"method"`
	Host   string `json:"host"`
	Target string `json:"target"` // path and query, as the caller sent them
	Caller string `json:"caller"` // address
	// ConfigVersion is the sender's version of the configuration, and Service the service that it
	// chose by that.
	ConfigVersion uint64           `json:"configVersion"`
	Service       site.ServiceName `json:"service"`
	// ObjectiveMs is the time left until the latency objective; negative: it has passed.
	ObjectiveMs int64 `json:"objectiveMs"`
	// WaitedMs is the time since the caller's first attempt when the request reached the sender; 0: this is the first, or
	// it is not known. The time at the sender is left out: it proves no wait of the caller between attempts.
	WaitedMs int64 `json:"waitedMs,omitempty"`
	// Sends and Tried are the attempts so far that may have reached a server, and their
	// servers.
	Sends int             `json:"sends,omitempty"`
	Tried []site.ServerID `json:"tried,omitempty"`
	// MayWait reports that the request may wait for a next owner of its key, because the
	// sender can reach no owner.
	MayWait bool `json:"mayWait,omitempty"`
	// Counted is the server with a limit whose requests the receiver counts, to the sender's knowledge;
	// empty: the request is forwarded for another reason.
	Counted site.ServerID `json:"counted,omitempty"`
}

// Outcome is what is known of a request that was forwarded.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // the answer is a server's
	NotRun   Outcome = "not run"  // it has not run and will not
	Unknown  Outcome = "unknown"  // it may have run
)

// Answer is what the other node states beside status, headers and body.
type Answer struct {
	Outcome Outcome         `json:"outcome"`
	Reason  string          `json:"reason,omitempty"` // of a refusal
	Sends   int             `json:"sends,omitempty"`  // all that may have reached a server, with those of the request
	Tried   []site.ServerID `json:"tried,omitempty"`
	// Server is the server whose answer it is, if there is one.
	Server site.ServerID `json:"server,omitempty"`
	// Unreachable reports that the other node can connect to no server that may run the
	// request either.
	Unreachable bool `json:"unreachable,omitempty"`
	// Partitioned reports that the other node can connect to no server of the service, and
	// Alternative is the boot of a node that lately could; empty: it knows of none.
	Partitioned bool   `json:"partitioned,omitempty"`
	Alternative string `json:"alternative,omitempty"`
	// Overloaded reports that the other node has no room for the request.
	Overloaded bool `json:"overloaded,omitempty"`
	// Unavailable reports that the other node serves no forwarded request at the moment.
	Unavailable bool `json:"unavailable,omitempty"`
}

// Probe asks another node whether it can connect to a server.
type Probe struct {
	Node   string        `json:"node"` // that asks
	Boot   string        `json:"boot"` // of that node
	ToBoot string        `json:"toBoot"`
	Server site.ServerID `json:"server"`
}

// ProbeAnswer is the answer to a Probe.
type ProbeAnswer struct {
	// Reached reports that the server accepts connections.
	Reached bool `json:"reached"`
}

// Encode returns the value of Header for a message.
func Encode(message any) string {
	text, err := json.Marshal(message)
	if err != nil {
		return "" // does not decode, so that the request is refused
	}
	return base64.StdEncoding.EncodeToString(text)
}

// DecodeRequest decodes the value of Header. The error is a *MalformedError.
func DecodeRequest(value string) (Request, error) {
	var r Request
	err := decode(value, &r)
	if err == nil && (r.Boot == "" || r.Method == "" || r.Target == "" || r.Sends < 0) {
		err = &MalformedError{}
	}
	return r, err
}

// DecodeAnswer decodes the value of Header. The error is a *MalformedError.
func DecodeAnswer(value string) (Answer, error) {
	var a Answer
	err := decode(value, &a)
	if err == nil && a.Outcome != Answered && a.Outcome != NotRun && a.Outcome != Unknown {
		err = &MalformedError{}
	}
	return a, err
}

// DecodeProbe decodes the value of Header. The error is a *MalformedError.
func DecodeProbe(value string) (Probe, error) {
	var p Probe
	err := decode(value, &p)
	if err == nil && (p.Boot == "" || p.Server == "") {
		err = &MalformedError{}
	}
	return p, err
}

// DecodeProbeAnswer decodes the value of Header. The error is a *MalformedError.
func DecodeProbeAnswer(value string) (ProbeAnswer, error) {
	var a ProbeAnswer
	err := decode(value, &a)
	return a, err
}

func decode(value string, message any) error {
	text, err := base64.StdEncoding.DecodeString(value)
	if err == nil {
		err = json.Unmarshal(text, message)
	}
	if err != nil {
		return &MalformedError{Cause: err}
	}
	return nil
}

// MalformedError reports a header that is no message of a node.
type MalformedError struct{ Cause error } // nil: a field is missing

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Cause == nil {
		return "malformed message of another node: a field is missing"
	}
	return "malformed message of another node: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
