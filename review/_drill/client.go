package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// connectTimeout is how long clients allow for a new connection.
const connectTimeout = time.Second

var lastAttempt atomic.Int64

// caller is a client of one node. It sends one request at a time, never the same one again.
type caller struct {
	node   *node
	record *record
	keeps  bool // keeps its connection for the next request
	conn   net.Conn
	reader *bufio.Reader
}

func newCaller(n *node, r *record, keeps bool) *caller {
	return &caller{node: n, record: r, keeps: keeps}
}

// message is what a client sends.
type message struct {
	what, method, host, path string
	unsafe                   bool
	body                     []byte
	timeout                  time.Duration
}

// send sends a request, records its outcome and returns it.
func (c *caller) send(m message) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", lastAttempt.Add(1)), node: c.node.name, what: m.what, unsafe: m.unsafe}
	c.record.sent(a)
	status, isSigned, err := c.exchange(a.id, m)
	a.signed = isSigned
	if err != nil || !c.keeps {
		c.end()
	}
	c.record.answered(a, status, failureOf(err))
	return a
}

func (c *caller) end() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *caller) exchange(id string, m message) (status int, isSigned bool, err error) {
	deadline := time.Now().Add(m.timeout)
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.node.front, connectTimeout); err != nil {
			return 0, false, &notConnectedError{err}
		}
		c.reader = bufio.NewReader(c.conn)
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return 0, false, err
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\n", m.method, m.path, m.host, id, m.timeout.Milliseconds())
	if m.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(m.body))
	}
	head.WriteString("\r\n")
	if _, err := c.conn.Write(append(head.Bytes(), m.body...)); err != nil {
		return 0, false, err
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: m.method})
	if err != nil {
		return 0, false, err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, false, err
	}
	if answer.Close {
		c.end()
	}
	return answer.StatusCode, answer.Header.Get(signatureHeader) != "", nil
}

// notConnectedError reports a request that was not sent.
type notConnectedError struct{ cause error }

// Error implements error.
func (e *notConnectedError) Error() string { return e.cause.Error() }

// Outcomes without an answer.
const (
	failedDeadline  = "deadline"
	failedConnect   = "no connection"
	failedConnEnded = "connection ended"
)

func failureOf(err error) string {
	var notConnected *notConnectedError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &notConnected):
		return failedConnect
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failedDeadline
	}
	return failedConnEnded
}
