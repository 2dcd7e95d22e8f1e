package router

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// ForwardPrefix is the path of forwarded requests on the peer listener. Every
// forwarded request is a POST to this path, whatever the caller's method, because
// net/http itself resends requests of other methods, and those with an
// Idempotency-Key, when a connection breaks.
const ForwardPrefix = "/forward/"

// headerForward carries the metadata of a forwarded request or its answer, as
// JSON.
const headerForward = "Burdockspindle-Forward"

// forwardFormat is the version of both JSON forms.
const forwardFormat = 1

// While a forwarded request is in progress, the lessor's node sends 102 responses,
// keepAlivesPerTTL of them in each lease TTL. A connection without progress for
// stallNumerator/stallDivisor lease TTLs is aborted: a lessor that is unresponsive
// for longer than a lease TTL has lost its lease as well.
const (
	keepAlivesPerTTL = 5
	stallNumerator   = 3
	stallDivisor     = 2
)

func keepAliveInterval(ttl time.Duration) time.Duration { return ttl / keepAlivesPerTTL }

func forwardStallTimeout(ttl time.Duration) time.Duration { return ttl * stallNumerator / stallDivisor }

// forwardedRequest is the JSON form of a forwarded request without its headers
// and body.
type forwardedRequest struct {
	Format     int           `json:"format"`
	From       topo.NodeID   `json:"from"`
	To         topo.NodeID   `json:"to"`
	Applied    topo.Offset   `json:"applied"`
	ID         string        `json:"id"`
	Service    topo.Service  `json:"service"`
	Keyed      bool          `json:"keyed,omitempty"`
	Key        []byte        `json:"key,omitempty"`
	Method     string        `json:"method"`
	Path       []byte        `json:"path"`
	Length     int64         `json:"length"`
	DeadlineMs int64         `json:"deadlineMs"` // remaining when sent
	Caller     []byte        `json:"caller,omitempty"`
	Ticket     string        `json:"ticket,omitempty"`
	Hop        int           `json:"hop,omitempty"`
	Chosen     topo.ServerID `json:"chosen,omitempty"`
	Past       topo.NodeID   `json:"past,omitempty"` // lessor that From could not reach
}

// forwardedAnswer is the JSON form of the answer without its headers and body.
type forwardedAnswer struct {
	Format       int               `json:"format"`
	ID           string            `json:"id"`
	Status       int               `json:"status"`
	Outcome      serverapi.Outcome `json:"outcome"`
	Reason       serverapi.Reason  `json:"reason,omitempty"`
	RetryAfterMs int64             `json:"retryAfterMs,omitempty"`
	HasBody      bool              `json:"hasBody,omitempty"`
	Length       string            `json:"length,omitempty"` // the answer's Content-Length header
	Replayed     bool              `json:"replayed,omitempty"`
	Server       topo.ServerID     `json:"server,omitempty"`
	Load         float64           `json:"load,omitempty"`
}

// encodeForward renders either form. Both contain only values that JSON can
// represent.
func encodeForward(form any) string {
	text, err := json.Marshal(form)
	if err != nil {
		return ""
	}
	return string(text)
}

// decodeForwardedRequest reads a forwarded request's header. The error is a
// *ForwardFormatError.
func decodeForwardedRequest(text string) (forwardedRequest, error) {
	var form forwardedRequest
	if err := json.Unmarshal([]byte(text), &form); err != nil {
		return form, &ForwardFormatError{Cause: err}
	}
	if form.Format != forwardFormat || form.Service == "" || form.ID == "" || form.Method == "" || form.From == "" {
		return form, &ForwardFormatError{}
	}
	return form, nil
}

// decodeForwardedAnswer reads an answer's header. The error is a
// *ForwardFormatError.
func decodeForwardedAnswer(text string) (forwardedAnswer, error) {
	var form forwardedAnswer
	if err := json.Unmarshal([]byte(text), &form); err != nil {
		return form, &ForwardFormatError{Cause: err}
	}
	if form.Format != forwardFormat || form.Status < 100 || form.Outcome == "" {
		return form, &ForwardFormatError{}
	}
	return form, nil
}

// request converts the form to a request that arrived now.
func (f forwardedRequest) request(now time.Time, header http.Header) *exchange.Request {
	return &exchange.Request{
		ID:                f.ID,
		Service:           f.Service,
		Keyed:             f.Keyed,
		Key:               string(f.Key),
		Method:            f.Method,
		Path:              string(f.Path),
		Header:            header,
		Deadline:          now.Add(f.deadline()),
		Caller:            string(f.Caller),
		Ticket:            f.Ticket,
		Hop:               f.Hop,
		ForwardedBy:       f.From,
		MinApplied:        f.Applied,
		PreferredServer:   f.Chosen,
		UnreachableLessor: f.Past,
	}
}

// deadline returns the remaining time, limited to a caller's maximum deadline.
func (f forwardedRequest) deadline() time.Duration {
	maxMs := callerapi.MaxDeadline.Milliseconds()
	return time.Duration(min(max(f.DeadlineMs, 0), maxMs)) * time.Millisecond
}

// ForwardFormatError reports a forwarded request or answer that cannot be read.
type ForwardFormatError struct{ Cause error }

// Error implements error.
func (e *ForwardFormatError) Error() string {
	if e.Cause == nil {
		return "forwarded message: missing or unknown fields"
	}
	return "forwarded message: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ForwardFormatError) Unwrap() error { return e.Cause }
