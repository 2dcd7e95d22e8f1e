package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/traffic"
)

// Bounds of a client.
const (
	// connectTimeout bounds an attempt to connect. Delays between zones are a few
	// milliseconds; a lost SYN is retransmitted only after one second.
	connectTimeout = 300 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
	// maxInlineBody is the size in bytes up to which a body certainly fits into the send
	// buffer, so that it can be written before the answer is read.
	maxInlineBody = 32 << 10
)

// Request is a request to a server.
type Request struct {
	Method    string
	Target    string // path and query, as the caller sent them
	Host      string
	Header    http.Header // as the caller sent it
	Body      bodies.Body
	ID        string        // request ID from the caller
	Remaining time.Duration // remaining time until the caller's deadline
	// Fresh requires a connection that carried an answer within maxFreshAge, or a new
	// one: a request sent on a stalled connection is lost, and an at-most-once request
	// cannot be sent again.
	Fresh bool
	// Held is the memory that the answers hold until the caller releases it; nil: they hold none once they are
	// read.
	Held *Held
}

// Answer is a server's complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	NotRun bool // the server states that it has not run the request
	// Server is the incarnation that the request was sent to.
	Server site.ServerID
	// ConnectTime is how long it took to open the connection; 0: an idle one was used.
	ConnectTime time.Duration
	site.Notice
}

// Client sends requests to servers.
type Client struct {
	headers Headers
	// signature is the name of the header that successes must have; empty: none.
	signature string
	zone      string // of this node; empty: unknown
	peer      traffic.Peer
	// dial opens a connection.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// observe receives the outcome of each attempt to connect; nil: nobody observes.
	observe func(server site.Server, reached bool)
	// observeNotice receives what servers say of themselves; nil: nobody observes.
	observeNotice func(server site.ServerID, notice site.Notice)
	idle          idlePool
	// rests are the servers that want no requests of this node for a time.
	rests  rests
	memory *AnswerMemory // for the bodies of answers
	logger hclog.Logger
	// The answers that are not understood, not valid, or too long.
	invalidLoads, invalidLimits, invalidLeaving, invalidRests, tooLong, invalidAnswers invalidReports
	// pending holds the connections for control calls that are being opened.
	pending pendingConns
}

// NewClient returns a client for a node in a zone, with the header names of the
// deployment.
func NewClient(headers Headers, zone string) *Client {
	return &Client{headers: headers, signature: headers.Signature, zone: zone, peer: traffic.Servers, dial: Dialer(connectTimeout).DialContext, logger: hclog.NewNullLogger(), memory: NewAnswerMemory(defaultAnswerMemory), idle: idlePool{conns: map[idleKey][]*conn{}}}
}

// NewNodeClient returns a client for requests to other nodes.
func NewNodeClient(headers Headers, zone string) *Client {
	c := NewClient(headers, zone)
	c.peer = traffic.Nodes
	c.signature = ""
	return c
}

// ObserveConnects sets the function that receives the outcome of each attempt to connect to a
// server. It must be called before the client is used, and the function must not block.
// Attempts that end because their context ends are not reported.
func (c *Client) ObserveConnects(observe func(server site.Server, reached bool)) {
	c.observe = observe
}

// SetDial replaces how connections are opened. It must be called before the client is used.
func (c *Client) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.dial = dial
}

// connect opens a connection to a server.
func (c *Client) connect(ctx context.Context, server site.Server) (net.Conn, error) {
	raw, err := c.dial(ctx, "tcp", server.Address)
	if c.observe != nil && (err == nil || ctx.Err() == nil) {
		c.observe(server, err == nil)
	}
	return raw, err
}

// meter returns the traffic meter for connections to a server or node.
func (c *Client) meter(server site.Server) traffic.Meter {
	return traffic.Between(c.peer, c.zone, server.Zone)
}

// Run closes expired idle connections until ctx is done.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.idle.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

// Send sends a request once and returns the complete answer. The error is an
// *AttemptError. When ctx is done the connection is reset, so that the server stops.
func (c *Client) Send(ctx context.Context, server site.Server, r *Request) (*Answer, error) {
	return c.do(ctx, server, r, c.requestText(server, r))
}

// Probe opens a connection to a server and keeps it for later requests.
func (c *Client) Probe(ctx context.Context, server site.Server) error {
	raw, err := c.connect(ctx, server)
	if err != nil {
		return &AttemptError{Server: server.ID, Cause: err}
	}
	cn := newConn(raw, c.meter(server))
	cn.answeredAt = time.Now()
	cn.usableUntil = cn.answeredAt.Add(defaultIdleTime)
	c.idle.put(requestKey(server), cn)
	return nil
}

func (c *Client) do(ctx context.Context, server site.Server, r *Request, head []byte) (*Answer, error) {
	key := requestKey(server)
	if err := c.rests.check(server.ID, time.Now()); err != nil {
		return nil, err
	}
	cn, err := c.idleOrNewConn(ctx, key, server, r.Fresh)
	if err != nil {
		return nil, err
	}
	if err := c.checkRest(key, cn); err != nil {
		return nil, err
	}
	answer, reusable, err := c.exchange(ctx, cn, server.ID, r, head, true)
	return c.finish(key, cn, answer, reusable, err)
}

// checkRest returns an *AttemptError if the server has asked for a rest while the connection was opened. The
// connection is kept.
func (c *Client) checkRest(key idleKey, cn *conn) error {
	now := time.Now()
	err := c.rests.check(key.server, now)
	if err != nil {
		if cn.usableUntil.IsZero() {
			cn.usableUntil = now.Add(defaultIdleTime)
		}
		c.idle.put(key, cn)
	}
	return err
}

// idleOrNewConn returns an idle connection, of which an answer must be recent if fresh is set, or a
// new one. The error is an *AttemptError.
func (c *Client) idleOrNewConn(ctx context.Context, key idleKey, server site.Server, fresh bool) (*conn, error) {
	if cn := c.idle.take(key, time.Now(), fresh); cn != nil {
		return cn, nil
	}
	return c.newConn(ctx, server)
}

// newConn returns a new connection, which the server has not closed at once. The error is an
// *AttemptError.
func (c *Client) newConn(ctx context.Context, server site.Server) (*conn, error) {
	startedAt := time.Now()
	raw, err := c.connect(ctx, server)
	if err != nil {
		return nil, &AttemptError{Server: server.ID, Cause: err}
	}
	cn := newConn(raw, c.meter(server))
	if err := cn.awaitRejection(time.Now()); err != nil {
		reset(raw)
		return nil, &AttemptError{Server: server.ID, Rejected: isClosedByPeer(err), Cause: err}
	}
	cn.connectTime = time.Since(startedAt)
	return cn, nil
}

// finish ends an attempt. Its connection becomes idle if it is reusable.
func (c *Client) finish(key idleKey, cn *conn, answer *Answer, reusable bool, err error) (*Answer, error) {
	if err != nil {
		cn.abandon()
		return nil, cn.attemptError(key.server, err)
	}
	if !reusable {
		reset(cn.net)
		return answer, nil
	}
	cn.markAnswered(answer)
	c.idle.put(key, cn)
	c.pending.signalIdle(key)
	return answer, nil
}

// exchange writes a request and reads its answer. isRequest is false for health checks and control
// calls, whose answers need no ID. The connection is reusable only if the request was written
// completely and no bytes follow the answer.
func (c *Client) exchange(ctx context.Context, cn *conn, server site.ServerID, r *Request, head []byte, isRequest bool) (*Answer, bool, error) {
	stop := context.AfterFunc(ctx, cn.abandon)
	defer stop()
	if err := ctx.Err(); err != nil {
		return nil, false, err // a stalled process must not send a canceled request
	}
	written := make(chan error, 1)
	cn.mayBeSent = true
	if r.Body.Len() <= maxInlineBody {
		if err := cn.writeAtOnce(head, r.Body); err != nil {
			return nil, false, err
		}
		cn.acknowledgment.markSent()
		written <- nil
	} else {
		go func() { written <- cn.writeInParts(head, r.Body) }()
	}
	response, err := readResponse(cn, r.Method)
	if err != nil {
		c.noteUnusable(server, err)
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }() // the connection is closed or reused as a whole
	notice := c.readNotice(server, response, isRequest)
	held := r.Held
	if held == nil {
		held = c.Hold()
		defer held.Release()
	}
	body, err := readBody(cn, response.Body, held)
	if err == nil {
		err = c.checkWhole(response, isRequest)
	}
	if err == nil && endsWithConnection(response) {
		err = cn.checkEnd(ctx, written)
	}
	if err != nil {
		c.noteUnusable(server, err)
		return nil, false, err
	}
	if isRequest && response.Header.Get(c.headers.RequestID) != r.ID && !c.isUnknownPath(response) {
		return nil, false, &MismatchError{Want: r.ID, Got: response.Header.Get(c.headers.RequestID)}
	}
	reusable := !response.Close && cn.reader.Buffered() == 0 && wasWritten(written) && stop()
	answer := c.answer(server, response, body, notice)
	answer.ConnectTime = cn.connectTime
	return answer, reusable, nil
}

// wasWritten reports whether the whole request had been written by the time its answer
// was read. A server that answers earlier still expects the rest of the body.
func wasWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// readResponse reads the head of the final response and skips informational
// responses.
func readResponse(cn *conn, method string) (*http.Response, error) {
	cn.incoming.begin("head", maxHeadBytes)
	for range maxInformational + 1 {
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := CheckHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols { // requests ask for no other protocol
			return nil, &InvalidAnswerError{Part: "status", Text: response.Status}
		}
	}
	return nil, &TooLongError{Part: "informational answers", Limit: maxInformational}
}

// isUnknownPath reports whether a node answered that it does not know the path of a request.
// Such an answer has no request ID.
func (c *Client) isUnknownPath(response *http.Response) bool {
	return c.peer == traffic.Nodes && response.StatusCode == http.StatusNotFound && response.Header.Get(c.headers.RequestID) == ""
}

func (c *Client) answer(server site.ServerID, response *http.Response, body []byte, notice site.Notice) *Answer {
	notRun := response.Header.Get(c.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body, NotRun: notRun, Server: server, Notice: notice}
}

// requestText returns the head of a forwarded request as it is sent.
func (c *Client) requestText(server site.Server, r *Request) []byte {
	var text bytes.Buffer
	writeHead(&text, r)
	for name, values := range r.Header {
		if isHopByHop(name, r.Header) || name == c.headers.Timeout || name == c.headers.ExpectedServer || name == "Content-Length" {
			continue
		}
		writeHeader(&text, http.Header{name: values})
	}
	writeHeader(&text, http.Header{c.headers.ExpectedServer: {string(server.ID.Name())}})
	writeHeader(&text, http.Header{c.headers.Timeout: {strconv.FormatInt(max(r.Remaining.Milliseconds(), 1), 10)}})
	writeLength(&text, r)
	return text.Bytes()
}

func writeHead(text *bytes.Buffer, r *Request) {
	text.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
}

func writeHeader(text *bytes.Buffer, header http.Header) {
	for name, values := range header {
		for _, value := range values {
			text.WriteString(name + ": " + value + "\r\n")
		}
	}
}

// writeLength writes the Content-Length header if there is a body or the method
// usually has one, and ends the head.
func writeLength(text *bytes.Buffer, r *Request) {
	if length := r.Body.Len(); length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		text.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	text.WriteString("\r\n")
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// isHopByHop reports whether a header applies to a single connection, by its name
// or because the Connection header lists it.
func isHopByHop(name string, header http.Header) bool {
	if hopByHopHeaders[name] {
		return true
	}
	for _, list := range header["Connection"] {
		for listed := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return true
			}
		}
	}
	return false
}

// ForwardedHeader returns the headers of an answer that are forwarded to the caller.
func ForwardedHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !isHopByHop(name, header) && name != "Content-Length" {
			forwarded[name] = values
		}
	}
	return forwarded
}
