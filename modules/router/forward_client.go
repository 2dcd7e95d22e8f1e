package router

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
)

// forwarder sends requests to other nodes.
type forwarder struct {
	scheme        string
	transport     *http.Transport
	stallTimeout  time.Duration    // without progress before a connection is aborted
	files         *tlsfiles.Loader // nil for no TLS
	tlsGeneration atomic.Uint64    // generation of the certificates of open connections
}

// renew closes idle connections that use earlier certificates, because the other
// node no longer accepts requests over them.
func (f *forwarder) renew() {
	if f.files == nil {
		return
	}
	generation := f.files.Generation()
	if f.tlsGeneration.Swap(generation) != generation {
		f.transport.CloseIdleConnections()
	}
}

// forwardError describes a forward without a readable answer. Its field sent is
// false only if it is proven that no byte of the request was sent.
type forwardError struct {
	sent    bool
	stalled bool
	reused  bool // the connection had been used before
	cause   error
}

// Error implements error.
func (e *forwardError) Error() string { return "forward: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *forwardError) Unwrap() error { return e.cause }

// stallError is the cause of a canceled forward that made no progress.
type stallError struct{}

// Error implements error.
func (*stallError) Error() string { return "no progress within the stall timeout" }

// send forwards a request and returns the answer's form and HTTP response. The
// response's body is aborted when it stalls, and must be closed. The error is a
// *forwardError.
func (f *forwarder) send(ctx context.Context, address string, form forwardedRequest, header http.Header, body io.Reader) (forwardedAnswer, *http.Response, error) {
	f.renew()
	ctx, cancel := context.WithCancelCause(ctx)
	flight := &flight{cancel: cancel, stallTimeout: f.stallTimeout}
	ctx = httptrace.WithClientTrace(ctx, flight.trace())
	request, err := f.request(ctx, address, form, header, body)
	if err != nil {
		cancel(nil)
		return forwardedAnswer{}, nil, &forwardError{cause: err}
	}
	flight.startStallTimer()
	response, err := f.transport.RoundTrip(request)
	if err != nil {
		flight.stopStallTimer()
		cancel(nil)
		return forwardedAnswer{}, nil, f.newForwardError(flight, err)
	}
	response.Body = &guardedBody{ReadCloser: response.Body, flight: flight}
	answer, err := readForwardedAnswer(form, response)
	if err != nil {
		_ = response.Body.Close()
		return forwardedAnswer{}, nil, &forwardError{sent: true, cause: err}
	}
	return answer, response, nil
}

func (f *forwarder) request(ctx context.Context, address string, form forwardedRequest, header http.Header, body io.Reader) (*http.Request, error) {
	if body != nil {
		body = io.NopCloser(body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.scheme+"://"+address+ForwardPrefix, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = form.Length
	request.GetBody = nil
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if request.Header["User-Agent"] == nil {
		request.Header["User-Agent"] = []string{""} // otherwise net/http adds one
	}
	request.Header.Set(headerForward, encodeForward(form))
	return request, nil
}

// newForwardError describes a forward without an answer. After a stall it closes
// the idle connections, because they may have stalled as well.
func (f *forwarder) newForwardError(flight *flight, err error) *forwardError {
	stalled := flight.stalled.Load()
	if stalled {
		f.transport.CloseIdleConnections()
	}
	return &forwardError{sent: flight.mayHaveSent(), stalled: stalled, reused: flight.reused.Load(), cause: err}
}

func readForwardedAnswer(form forwardedRequest, response *http.Response) (forwardedAnswer, error) {
	answer, err := decodeForwardedAnswer(response.Header.Get(headerForward))
	if err != nil {
		return answer, err
	}
	if answer.ID != form.ID {
		metricForeign.Add(1)
		return answer, &ForeignAnswerError{Want: form.ID, Got: answer.ID}
	}
	return answer, nil
}

// ForeignAnswerError reports an answer to another request.
type ForeignAnswerError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return "answer to request " + e.Got + " in place of " + e.Want
}

// answerOf returns the exchange form of a forwarded answer.
func answerOf(form forwardedAnswer, header http.Header) *exchange.Answer {
	passed := callerapi.Forwardable(header)
	passed.Del("Content-Length")
	if form.Length != "" {
		passed.Set("Content-Length", form.Length)
	}
	if form.Replayed {
		passed.Set(callerapi.HeaderReplayed, "true")
	}
	return &exchange.Answer{
		Status:     form.Status,
		Outcome:    form.Outcome,
		Reason:     form.Reason,
		RetryAfter: time.Duration(form.RetryAfterMs) * time.Millisecond,
		Header:     passed,
	}
}
