package routertest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Answer runs requests immediately and returns a fixed answer.
func Answer(status int, text string) Behaviour {
	return func(_ context.Context, req backend.Request) (*backend.Response, error) {
		return responseTo(req, status, text), nil
	}
}

// Echo answers with the request's ID in the header and the caller's ID as the
// body, so that an answer that reached another caller is detected.
func Echo(_ context.Context, req backend.Request) (*backend.Response, error) {
	return responseTo(req, http.StatusOK, req.Header.Get("X-Caller-Id")), nil
}

func responseTo(req backend.Request, status int, text string) *backend.Response {
	header := http.Header{}
	header.Set(serverapi.HeaderRequestID, req.RequestID)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set("X-Server-Says", "hello")
	return &backend.Response{
		Status:  status,
		Outcome: serverapi.OutcomeAnswered,
		Header:  header,
		Body:    io.NopCloser(bytes.NewReader([]byte(text))),
	}
}

// Decline answers with an outcome and a reason: that the request was not run, or
// that the outcome is unknown.
func Decline(outcome serverapi.Outcome, reason serverapi.Reason) Behaviour {
	return func(_ context.Context, req backend.Request) (*backend.Response, error) {
		response := responseTo(req, http.StatusConflict, "")
		response.Outcome, response.Reason = outcome, reason
		return response, nil
	}
}

// Unreachable fails at once, as if the connection was refused.
func Unreachable(context.Context, backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Sent: false, Cause: io.ErrClosedPipe}
}

// Lost fails as if the connection ended after the request was sent.
func Lost(context.Context, backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Sent: true, Cause: io.ErrUnexpectedEOF}
}

// Unresponsive fails at once, as if the request was sent on a connection that
// then made no progress.
func Unresponsive(context.Context, backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Sent: true, Unresponsive: true, Cause: io.ErrNoProgress}
}

// Hanging never answers.
func Hanging(ctx context.Context, _ backend.Request) (*backend.Response, error) {
	<-ctx.Done()
	return nil, &backend.AttemptError{Sent: true, Cause: ctx.Err()}
}

// Foreign answers with the ID of another request.
func Foreign(ctx context.Context, req backend.Request) (*backend.Response, error) {
	req.RequestID += "x"
	return Answer(http.StatusOK, "somebody else's")(ctx, req)
}

// Broken answers with a declared length and only the first part of the body. A
// negative length declares none.
func Broken(length int, part string) Behaviour {
	return func(_ context.Context, req backend.Request) (*backend.Response, error) {
		response := responseTo(req, http.StatusOK, "")
		response.Header.Set("Content-Length", strconv.Itoa(length))
		if length < 0 {
			response.Header.Del("Content-Length")
		}
		broken := io.MultiReader(bytes.NewReader([]byte(part)), failingReader{})
		response.Body = io.NopCloser(broken)
		return response, nil
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Delayed delays each request by the service time, and fails if the request is
// canceled first.
func Delayed(serviceTime time.Duration, then Behaviour) Behaviour {
	return func(ctx context.Context, req backend.Request) (*backend.Response, error) {
		timer := time.NewTimer(serviceTime)
		defer timer.Stop()
		select {
		case <-timer.C:
			return then(ctx, req)
		case <-ctx.Done():
			return nil, &backend.AttemptError{Sent: true, Cause: ctx.Err()}
		}
	}
}

// Sequence runs one step for each request, and repeats the last step.
func Sequence(steps ...Behaviour) Behaviour {
	var mu sync.Mutex
	return func(ctx context.Context, req backend.Request) (*backend.Response, error) {
		mu.Lock()
		step := steps[0]
		if len(steps) > 1 {
			steps = steps[1:]
		}
		mu.Unlock()
		return step(ctx, req)
	}
}
