package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Limits of a caller's HTTP client.
const (
	entryURL         = "http://entry" // the balancer's dialer chooses the address
	callerIdleConns  = 256
	deadlineGrace    = time.Second // additional wait of the caller beyond its deadline
	reasonNoEntry    = serverapi.Reason("no-entry-node")
	reasonConnection = serverapi.Reason("connection-broken")
)

// client sends the attempts of one zone's callers and records them.
type client struct {
	http     *http.Client
	recorder history.Recorder
	clock    history.Clock
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, _ string) (net.Conn, error)

func newClient(dial dialFunc, recorder history.Recorder, clock history.Clock) *client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: callerIdleConns,
		DisableCompression:  true,
	}
	return &client{http: &http.Client{Transport: transport}, recorder: recorder, clock: clock}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// attempt is one attempt of a caller's request.
type attempt struct {
	caller   string
	request  string // the caller's unique name for the request
	number   int
	service  topo.Service
	keyed    bool
	record   string // the key for a keyed service, otherwise the record's name
	method   string
	ticket   string
	body     []byte
	size     int // filler bytes requested in the answer
	deadline time.Duration
}

// path returns the request path, which ends in the stand-in server's path.
func (a attempt) path() string {
	rest := "records/" + url.PathEscape(a.record) + "?size=" + strconv.Itoa(a.size)
	if !a.keyed {
		return callerapi.UnkeyedPath(a.service, rest)
	}
	return callerapi.KeyedPath(a.service, a.record, rest)
}

// send makes one attempt and records the attempt and its answer.
func (c *client) send(ctx context.Context, a attempt) history.CallerAnswered {
	c.recorder.Record(history.CallerSent{
		At: c.clock(), Caller: a.caller, CallerRequest: a.request, Attempt: a.number,
		Service: a.service, Key: a.record, Method: a.method, Ticket: a.ticket, BodyDigest: server.DigestOf(a.body),
	})
	answer := c.exchange(ctx, a)
	answer.Caller, answer.CallerRequest, answer.Attempt = a.caller, a.request, a.number
	answer.At = c.clock()
	c.recorder.Record(answer)
	return answer
}

func (c *client) exchange(ctx context.Context, a attempt) history.CallerAnswered {
	ctx, cancel := context.WithTimeout(ctx, a.deadline+deadlineGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.method, entryURL+a.path(), withoutReplay(a.body))
	if err != nil {
		return notSent()
	}
	request.ContentLength = int64(len(a.body))
	request.Header.Set(callerapi.HeaderDeadlineMs, strconv.FormatInt(a.deadline.Milliseconds(), 10))
	request.Header.Set(callerapi.HeaderCaller, a.caller)
	request.Header.Set(history.HeaderCallerRequest, a.request)
	if a.ticket != "" {
		request.Header.Set(callerapi.HeaderIdempotencyKey, a.ticket)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failedExchange(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return brokenExchange(response.StatusCode)
	}
	return readAnswer(response, body)
}

// readAnswer reads the outcome of a complete HTTP response and, if a
// server answered, the server's echo of the request.
func readAnswer(response *http.Response, body []byte) history.CallerAnswered {
	answered := history.CallerAnswered{
		Status:   response.StatusCode,
		Outcome:  serverapi.Outcome(response.Header.Get(callerapi.HeaderOutcome)),
		Reason:   serverapi.Reason(response.Header.Get(callerapi.HeaderReason)),
		Replayed: response.Header.Get(callerapi.HeaderReplayed) != "",
	}
	if answered.Outcome != serverapi.OutcomeAnswered {
		return answered
	}
	answer, err := server.ReadAnswer(bytes.NewReader(body))
	answered.Whole = err == nil
	answered.EchoCallerRequest = answer.CallerRequest
	answered.EchoKey = answer.Key
	answered.EchoBodyDigest = answer.BodyDigest
	answered.EchoRequestID = answer.RequestID
	answered.EchoValue = answer.Value
	return answered
}

// withoutReplay hides a body's type from net/http, which would otherwise resend a
// request automatically when a reused connection breaks.
func withoutReplay(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}

func notSent() history.CallerAnswered {
	return history.CallerAnswered{Outcome: serverapi.OutcomeNotRun, Reason: reasonNoEntry}
}

func brokenExchange(status int) history.CallerAnswered {
	return history.CallerAnswered{Status: status, Outcome: serverapi.OutcomeUnknown, Reason: reasonConnection}
}

// failedExchange classifies an attempt without an answer: only an attempt without a
// connection is certain not to have been sent.
func failedExchange(err error) history.CallerAnswered {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return notSent()
	}
	return brokenExchange(0)
}

// ticket requests an idempotency ticket; the result is false if none was issued.
func (c *client) ticket(ctx context.Context, a attempt) (string, bool) {
	path := callerapi.UnkeyedTicketPath(a.service)
	if a.keyed {
		path = callerapi.TicketPath(a.service, a.record)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entryURL+path, nil)
	if err != nil {
		return "", false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	var issued callerapi.Ticket
	if response.StatusCode/100 != 2 || json.NewDecoder(response.Body).Decode(&issued) != nil {
		return "", false
	}
	return issued.Ticket, issued.Ticket != ""
}
