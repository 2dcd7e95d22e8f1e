package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Health is a server's answer to a health check.
type Health struct {
	Load   *site.Load    // nil: not reported
	WarmUp time.Duration // how much longer it is cold; 0: it is warm, or does not report it
	Rest   time.Duration // for how long it wants no requests of this node; 0: it asks for no rest
}

// CheckHealth requests the health path of a server, on an idle connection if there is one. The
// connection is kept for requests. The error is an *AttemptError, or an *UnhealthyError together with
// what the answer reports.
func (c *Client) CheckHealth(ctx context.Context, server site.Server, path string) (Health, error) {
	if err := c.rests.check(server.ID, time.Now()); err != nil {
		return Health{}, err
	}
	cn, err := c.idleOrNewConn(ctx, requestKey(server), server, false)
	return c.checkHealth(ctx, cn, err, server, path)
}

// CheckHealthAnew does the same on a new connection.
func (c *Client) CheckHealthAnew(ctx context.Context, server site.Server, path string) (Health, error) {
	if err := c.rests.check(server.ID, time.Now()); err != nil {
		return Health{}, err
	}
	cn, err := c.newConn(ctx, server)
	return c.checkHealth(ctx, cn, err, server, path)
}

// HasIdle reports whether there is an idle connection to a server.
func (c *Client) HasIdle(server site.Server) bool { return c.idle.has(requestKey(server)) }

// requestKey identifies the connections to a server for requests.
func requestKey(server site.Server) idleKey {
	return idleKey{address: server.Address, server: server.ID}
}

func (c *Client) checkHealth(ctx context.Context, cn *conn, err error, server site.Server, path string) (Health, error) {
	if err != nil {
		return Health{}, err
	}
	if err := c.checkRest(requestKey(server), cn); err != nil {
		return Health{}, err
	}
	header := http.Header{c.headers.ExpectedServer: {string(server.ID.Name())}}
	r := &Request{Method: http.MethodGet, Target: path, Host: server.Address, Header: header}
	var head bytes.Buffer
	writeHead(&head, r)
	writeHeader(&head, header)
	writeLength(&head, r)
	answer, reusable, err := c.exchange(ctx, cn, server.ID, r, head.Bytes(), false)
	if answer, err = c.finish(requestKey(server), cn, answer, reusable, err); err != nil {
		return Health{}, err
	}
	health := Health{Load: answer.Load, WarmUp: c.warmUpOf(answer), Rest: answer.Rest}
	if answer.Status != http.StatusOK {
		return health, &UnhealthyError{Status: answer.Status}
	}
	return health, nil
}

func (c *Client) warmUpOf(answer *Answer) time.Duration {
	milliseconds, err := strconv.ParseInt(answer.Header.Get(c.headers.WarmUp), 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// UnhealthyError reports a health check that was answered with another status than 200.
type UnhealthyError struct{ Status int }

// Error implements error.
func (e *UnhealthyError) Error() string {
	return "health check answered with " + strconv.Itoa(e.Status)
}
