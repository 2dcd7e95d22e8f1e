package router

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
)

const (
	// defaultMaxBodyBytes bounds request bodies if the configuration has no limit.
	defaultMaxBodyBytes = 8 << 20
	// bodyMemoryRetryAfter is the Retry-After of a request whose body found no memory, or made room for others.
	bodyMemoryRetryAfter = time.Second
	// unreadBodyTimeout bounds the reads by which the HTTP server discards what a refused request still sends.
	unreadBodyTimeout = 500 * time.Millisecond
)

// defaultBodyLimits bound the bodies of a router without other limits.
var defaultBodyLimits = bodies.Limits{Small: 16 << 20, Large: 240 << 20}

// Refusals of requests whose bodies cannot be read. Their connections are closed.
var (
	bodyMemoryRefusal  = &refusal{status: http.StatusServiceUnavailable, reason: "memory for request bodies is taken", retryAfter: bodyMemoryRetryAfter, closes: true, isOverloaded: true}
	bodyEvictedRefusal = &refusal{status: http.StatusServiceUnavailable, reason: "slow request body made room for others", retryAfter: bodyMemoryRetryAfter, closes: true, isOverloaded: true}
	bodyTimeoutRefusal = &refusal{status: http.StatusRequestTimeout, reason: "request body did not arrive in time", closes: true}
	bodyTooLongRefusal = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too long", closes: true}
)

// readBody reads the body of the request until its deadline. A body whose length is known to be too long is not read.
func (x *exchange) readBody(request *http.Request) *refusal {
	if !x.isBodyUnread {
		return nil
	}
	limit := x.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if request.ContentLength > limit {
		return bodyTooLongRefusal
	}
	x.setReadDeadline(x.deadline)
	account, err := x.router.bodies.Open(request.ContentLength, time.Now(), x.interruptBody)
	if err != nil {
		return bodyRefusal(err)
	}
	x.body = account
	body, err := bodies.Read(request.Body, account, request.ContentLength, limit)
	if err != nil {
		x.releaseBody()
		return bodyRefusal(err)
	}
	x.setReadDeadline(time.Time{})
	x.isBodyUnread = false
	x.request.Body = body
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) *refusal {
	var full *bodies.FullError
	var evicted *bodies.EvictedError
	var tooLong *bodies.TooLongError
	switch {
	case errors.As(err, &full):
		return bodyMemoryRefusal
	case errors.As(err, &evicted):
		return bodyEvictedRefusal
	case errors.As(err, &tooLong):
		return bodyTooLongRefusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bodyTimeoutRefusal
	}
	return &refusal{status: http.StatusBadRequest, reason: "body not read: " + err.Error(), closes: true}
}

// releaseBody gives back the memory of the request's body.
func (x *exchange) releaseBody() {
	if x.body != nil {
		x.body.Release()
	}
}

// interruptBody makes a read of the request's body fail. It is called only while the body is being read.
func (x *exchange) interruptBody() { x.setReadDeadline(time.Unix(1, 0)) }

// setReadDeadline sets the deadline of reads from the caller's connection; zero: none.
func (x *exchange) setReadDeadline(deadline time.Time) {
	_ = http.NewResponseController(x.writer).SetReadDeadline(deadline) // not supported by test recorders
}

// endBody prepares the refusal of a request whose body has not been read: the caller is not waited for, and reads the refusal
// before its connection is closed.
func (x *exchange) endBody(header http.Header, r *refusal) {
	if !x.isBodyUnread {
		return
	}
	timeout := unreadBodyTimeout
	if r == bodyEvictedRefusal { // its connection may be needed
		timeout = 0
	}
	x.setReadDeadline(time.Now().Add(timeout))
	if r.closes {
		header.Set("Connection", "close")
	}
}
