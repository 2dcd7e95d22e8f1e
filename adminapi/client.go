package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
)

// maxResponseBytes is the maximum number of bytes that a client reads of a
// response.
const maxResponseBytes = 256 << 20

// Client calls one node's administration API. Its methods return *Failure for a
// response that is not 2xx, and *CallError if there was no complete response.
type Client struct {
	base     string
	token    string
	operator string
	http     *http.Client
}

// NewClient returns a client for a base URL such as "http://10.0.0.7:7070". The
// operator's name may be empty. If client is nil, it uses http.DefaultClient.
func NewClient(base, token, operator string, client *http.Client) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, &AddressError{URL: base}
	}
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimRight(base, "/"), token: token, operator: operator, http: client}, nil
}

// Status returns a summary of the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.callJSON(ctx, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

// Dump returns the state dump of every module of the node, as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, PathDump, nil)
}

// Site returns the site configuration in force.
func (c *Client) Site(ctx context.Context) (Site, error) {
	var site Site
	err := c.callJSON(ctx, http.MethodGet, PathSite, nil, &site)
	return site, err
}

// Drain requests that the node drain and stop.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, PathDrain, nil)
	return err
}

// ConfirmLoss confirms that machines have stopped permanently.
func (c *Client) ConfirmLoss(ctx context.Context, loss Loss) (Accepted, error) {
	return c.post(ctx, PathLoss, loss)
}

// Move requests planned moves.
func (c *Client) Move(ctx context.Context, moves Moves) (Accepted, error) {
	return c.post(ctx, PathMoves, moves)
}

func (c *Client) post(ctx context.Context, path string, body any) (Accepted, error) {
	var accepted Accepted
	text, err := json.Marshal(body)
	if err != nil {
		return accepted, &CallError{Path: path, Cause: err}
	}
	err = c.callJSON(ctx, http.MethodPost, path, text, &accepted)
	return accepted, err
}

// PublishOnce sends a text that replaces the base version. Retry states that the
// same text was sent before and that its outcome is unknown.
func (c *Client) PublishOnce(ctx context.Context, base uint64, text []byte, retry bool) (Published, error) {
	query := url.Values{QueryBase: {strconv.FormatUint(base, 10)}}
	if retry {
		query.Set(QueryRetry, "1")
	}
	var published Published
	err := c.callJSON(ctx, http.MethodPost, PathSite+"?"+query.Encode(), text, &published)
	return published, err
}

func (c *Client) callJSON(ctx context.Context, method, path string, body []byte, into any) error {
	text, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &CallError{Path: path, Sent: true, Cause: err}
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &CallError{Path: path, Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if c.operator != "" {
		request.Header.Set(HeaderOperator, c.operator)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &CallError{Path: path, Sent: connected.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &CallError{Path: path, Sent: true, Cause: err}
	}
	if response.StatusCode/100 == 2 {
		return text, nil
	}
	return nil, decodeFailure(path, response.Status, text)
}

// decodeFailure returns a *Failure, or a *CallError if the response is not from
// the API.
func decodeFailure(path, status string, text []byte) error {
	var failure Failure
	if err := json.Unmarshal(text, &failure); err != nil || failure.Code == "" {
		return &CallError{Path: path, Sent: true, Cause: &StatusError{Status: status}}
	}
	return &failure
}
