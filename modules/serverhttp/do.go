package serverhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Do implements backend.Driver.
func (d *Driver) Do(ctx context.Context, to backend.Target, req backend.Request) (*backend.Response, error) {
	metricAttempts.Add(1)
	e := d.endpoint(to)
	limit := d.options.Share(to)
	e.budget.setLimit(limit)
	if limit <= 0 {
		e.close()
		return nil, notSent(to, &ShareError{Server: to.ID})
	}
	ctx, cancel := withDeadline(ctx, req.Deadline)
	if !e.acquireSlot(ctx) {
		cancel()
		metricNoShare.Add(1)
		return nil, notSent(to, &ShareError{Server: to.ID, Share: limit})
	}
	a := newAttempt(ctx, to.ID, d.options.StallTimeout)
	done := func() {
		if a.end() {
			cancel()
			e.budget.releaseSlot()
		}
	}
	if !d.options.ExpectProgress {
		a.progress.hold() // a slow request is indistinguishable from a stalled connection
	}
	response, err := e.roundTrip(a, req) //nolint:bodyclose // the receiver of the response closes it
	if err != nil {
		failure := a.failure(err)
		done()
		countFailure(failure)
		return nil, failure
	}
	if d.options.ExpectProgress {
		a.progress.hold() // until the receiver reads the body
	}
	return &backend.Response{
		Status:  response.StatusCode,
		Outcome: outcomeOf(response.Header),
		Reason:  serverapi.Reason(response.Header.Get(serverapi.HeaderReason)),
		Header:  response.Header,
		Body:    &responseBody{inner: response.Body, attempt: a, done: done},
	}, nil
}

func notSent(to backend.Target, cause error) error {
	metricNotSent.Add(1)
	return &backend.AttemptError{Server: to.ID, Cause: cause}
}

func countFailure(failure *backend.AttemptError) {
	if failure.Sent {
		metricNoAnswer.Add(1)
	} else {
		metricNotSent.Add(1)
	}
}

// acquireSlot waits for a slot in the share, for at most the connect timeout.
func (e *endpoint) acquireSlot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, e.options.ConnectTimeout)
	defer cancel()
	return e.budget.acquireSlot(ctx)
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// roundTrip sends a request and returns a response that carries its ID.
func (e *endpoint) roundTrip(a *attempt, req backend.Request) (*http.Response, error) {
	request, err := e.request(a, req)
	if err != nil {
		return nil, err
	}
	transport := e.single
	if req.Idempotent {
		transport = e.pooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response, req); err != nil {
		metricWrongAnswers.Add(1)
		a.discard()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkResponse verifies that a response belongs to the request, and that its end
// is detectable.
func checkResponse(response *http.Response, req backend.Request) error {
	got := response.Header.Get(serverapi.HeaderRequestID)
	if got != req.RequestID || got == "" {
		return &MismatchedResponseError{Want: req.RequestID, Got: got}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return &UnboundedResponseError{Status: response.StatusCode}
	}
	return nil
}

// outcomeOf reads the outcome; an unrecognized value is treated as unknown.
func outcomeOf(header http.Header) serverapi.Outcome {
	switch outcome := serverapi.Outcome(header.Get(serverapi.HeaderOutcome)); outcome {
	case "":
		return serverapi.OutcomeAnswered
	case serverapi.OutcomeAnswered, serverapi.OutcomeNotRun:
		return outcome
	}
	return serverapi.OutcomeUnknown
}

// request converts a caller's request to the HTTP request for the server.
func (e *endpoint) request(a *attempt, req backend.Request) (*http.Request, error) {
	if !req.Deadline.IsZero() && time.Until(req.Deadline) <= 0 {
		return nil, &DeadlineError{}
	}
	address, err := url.ParseRequestURI(serverapi.PathRequest + strings.TrimPrefix(req.Path, "/"))
	if err != nil {
		return nil, &RequestError{Cause: err}
	}
	address.Scheme = "http"
	address.Host = e.target.Address
	request, err := http.NewRequestWithContext(a.ctx, req.Method, "", nil)
	if err != nil {
		return nil, &RequestError{Cause: err}
	}
	request.URL = address
	request.Host = e.target.Address
	request.Header = e.header(req)
	e.setBody(request, a, req)
	return request, nil
}

func (e *endpoint) setBody(request *http.Request, a *attempt, req backend.Request) {
	if req.Body == nil || req.ContentLength == 0 {
		if !req.Idempotent {
			request.Body = http.NoBody // sent on a new connection, where net/http never resends
			return
		}
		request.Body = &requestBody{progress: a.progress}
		return
	}
	request.Body = &requestBody{inner: req.Body, progress: a.progress}
	request.ContentLength = req.ContentLength
}

// header returns the caller's headers without hop-by-hop headers and without
// those that the protocol sets.
func (e *endpoint) header(req backend.Request) http.Header {
	header := http.Header{}
	for name, values := range req.Header {
		if isForwarded(name) {
			header[name] = values
		}
	}
	for name := range connectionTokens(req.Header) {
		header.Del(name)
	}
	if _, given := header[headerUserAgent]; !given {
		header[headerUserAgent] = nil // net/http would add its own
	}
	set := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	set(serverapi.HeaderServer, string(e.target.ID))
	set(serverapi.HeaderService, string(req.Service))
	set(serverapi.HeaderRequestID, req.RequestID)
	set(serverapi.HeaderIdempotencyKey, req.IdempotencyKey)
	set(serverapi.HeaderKey, serverapi.EncodeValue(req.Key))
	if req.Hop > 0 {
		set(serverapi.HeaderHop, strconv.Itoa(req.Hop))
	}
	if req.Shard.Service != "" {
		set(serverapi.HeaderShard, serverapi.EncodeValue(req.Shard.String()))
		set(serverapi.HeaderFence, req.Fence.String())
	}
	if !req.Term.IsZero() {
		set(serverapi.HeaderTerm, req.Term.String())
	}
	e.setTimes(header, req.Deadline)
	return header
}

// setTimes sets the headers for the remaining time and the progress interval.
func (e *endpoint) setTimes(header http.Header, deadline time.Time) {
	if !deadline.IsZero() {
		left := max(1, time.Until(deadline).Milliseconds())
		header.Set(serverapi.HeaderDeadlineMs, strconv.FormatInt(left, 10))
	}
	if e.options.ExpectProgress {
		every := max(1, (e.options.StallTimeout / progressReportsPerTimeout).Milliseconds())
		header.Set(serverapi.HeaderProgressMs, strconv.FormatInt(every, 10))
	}
}
