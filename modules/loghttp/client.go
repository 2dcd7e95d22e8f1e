package loghttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logwire"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	opAppend = "append"
	opRead   = "read"

	maxIdleConnections = 2
)

// Client implements platlog.Log over the HTTP interface of the log service. It is
// safe for concurrent use.
type Client struct {
	records *url.URL
	http    *http.Client
}

var _ platlog.Log = (*Client)(nil)

// NewClient returns a client for one stream of the log service at base, which must
// be a valid URL without a query.
func NewClient(base *url.URL, stream string, connectTimeout time.Duration) *Client {
	transport := newTransport(connectTimeout)
	return &Client{
		records: base.JoinPath(logwire.PathPrefix, url.PathEscape(stream), logwire.PathRecords),
		http:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Append implements platlog.Log. It returns *platlog.UnavailableError only if no
// connection was obtained or the service reported that nothing was appended; after
// any other failure the outcome is unknown (*platlog.UncertainError).
func (c *Client) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	body, err := json.Marshal(logwire.AppendRequest{Data: data})
	if err != nil {
		return 0, &platlog.UnavailableError{Op: opAppend, Cause: err}
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, c.records.String(), bytes.NewReader(body))
	if err != nil {
		return 0, &platlog.UnavailableError{Op: opAppend, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	status, responseBody, err := c.do(req)
	if err != nil {
		if !connected.Load() {
			return 0, &platlog.UnavailableError{Op: opAppend, Cause: err}
		}
		return 0, &platlog.UncertainError{Cause: err}
	}
	return appendResult(status, responseBody)
}

func appendResult(status int, responseBody []byte) (topo.Offset, error) {
	if status == http.StatusOK {
		var appended logwire.AppendResponse
		if err := json.Unmarshal(responseBody, &appended); err != nil {
			return 0, &platlog.UncertainError{Cause: &ProtocolError{Problem: "response is not valid JSON", Cause: err}}
		}
		if appended.Offset == 0 {
			return 0, &platlog.UncertainError{Cause: &ProtocolError{Problem: "response has no offset"}}
		}
		return appended.Offset, nil
	}
	statusErr := decodeError(status, responseBody)
	if statusErr.NotAppended {
		return 0, &platlog.UnavailableError{Op: opAppend, Cause: statusErr}
	}
	return 0, &platlog.UncertainError{Cause: statusErr}
}

// Read implements platlog.Log.
func (c *Client) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	from := max(req.From, 1)
	target := *c.records
	target.RawQuery = url.Values{
		logwire.ParamFrom: {strconv.FormatUint(uint64(from), 10)},
		logwire.ParamMax:  {strconv.Itoa(max(req.Max, 0))},
		logwire.ParamWait: {strconv.FormatInt(max(req.Wait.Milliseconds(), 0), 10)},
	}.Encode()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return platlog.Batch{}, &platlog.UnavailableError{Op: opRead, Cause: err}
	}
	status, responseBody, err := c.do(call)
	if err != nil {
		if ctx.Err() != nil {
			return platlog.Batch{}, ctx.Err()
		}
		return platlog.Batch{}, &platlog.UnavailableError{Op: opRead, Cause: err}
	}
	return readResult(from, status, responseBody)
}

func readResult(from topo.Offset, status int, responseBody []byte) (platlog.Batch, error) {
	if status != http.StatusOK {
		statusErr := decodeError(status, responseBody)
		if statusErr.Code == logwire.CodeTruncated && statusErr.First > from {
			return platlog.Batch{}, &platlog.TruncatedError{From: from, First: statusErr.First}
		}
		return platlog.Batch{}, &platlog.UnavailableError{Op: opRead, Cause: statusErr}
	}
	var response logwire.ReadResponse
	if err := json.Unmarshal(responseBody, &response); err != nil {
		return platlog.Batch{}, &platlog.UnavailableError{
			Op: opRead, Cause: &ProtocolError{Problem: "response is not valid JSON", Cause: err},
		}
	}
	batch, err := toBatch(from, response)
	if err != nil {
		return platlog.Batch{}, &platlog.UnavailableError{Op: opRead, Cause: err}
	}
	return batch, nil
}

// toBatch validates a read response and skips records that the service delivered
// before.
func toBatch(from topo.Offset, response logwire.ReadResponse) (platlog.Batch, error) {
	batch := platlog.Batch{First: response.First, End: response.End}
	next := from
	for _, record := range response.Records {
		switch {
		case record.Offset < next:
			continue
		case record.Offset > next:
			return platlog.Batch{}, &ProtocolError{Problem: "record offsets have a gap"}
		}
		batch.Entries = append(batch.Entries, platlog.Entry{Offset: record.Offset, Data: record.Data})
		next++
	}
	if batch.First == 0 || batch.End < batch.First {
		return platlog.Batch{}, &ProtocolError{Problem: "first or end offset is out of range"}
	}
	if len(batch.Entries) > 0 && batch.End < next {
		return platlog.Batch{}, &ProtocolError{Problem: "end offset precedes the last record"}
	}
	return batch, nil
}

// do sends a request and reads the whole response, at most logwire.MaxAnswerBytes.
// After a failure it closes the idle connections, because the fault that stalled
// this connection may have stalled them too.
func (c *Client) do(req *http.Request) (status int, responseBody []byte, err error) {
	response, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err = io.ReadAll(io.LimitReader(response.Body, logwire.MaxAnswerBytes+1))
	if err != nil {
		c.http.CloseIdleConnections()
		return 0, nil, err
	}
	if len(responseBody) > logwire.MaxAnswerBytes {
		return 0, nil, &ProtocolError{Problem: "response is too large"}
	}
	return response.StatusCode, responseBody, nil
}

func decodeError(status int, responseBody []byte) *StatusError {
	var body logwire.ErrorResponse
	if err := json.Unmarshal(responseBody, &body); err != nil {
		return &StatusError{Status: status}
	}
	return &StatusError{
		Status:      status,
		Code:        body.Code,
		Message:     body.Message,
		NotAppended: body.Appended != nil && !*body.Appended,
		First:       body.First,
	}
}
