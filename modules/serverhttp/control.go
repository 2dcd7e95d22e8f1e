package serverhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// maxReplyBytes limits the size of a server's reply to its lessor.
const maxReplyBytes = 4 << 20

// Lease implements backend.Driver.
func (d *Driver) Lease(ctx context.Context, to backend.Target, req serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	return d.control(ctx, to, serverapi.PathLease, req)
}

// Acknowledge implements backend.Driver.
func (d *Driver) Acknowledge(ctx context.Context, to backend.Target, req serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error) {
	return d.control(ctx, to, serverapi.PathAcknowledge, req)
}

// control makes a lessor's call. These calls are idempotent: if one fails or gets
// no response on a reused connection, it is retried once on a new connection, so
// that a stalled connection is not mistaken for an unresponsive server.
func (d *Driver) control(ctx context.Context, to backend.Target, path string, req any) (serverapi.LeaseReply, error) {
	metricControlCalls.Add(1)
	body, err := json.Marshal(req)
	if err != nil {
		return serverapi.LeaseReply{}, &backend.ControlError{Server: to.ID, Op: path, Cause: err}
	}
	e := d.endpoint(to)
	transport := e.controlTransport()
	reply, reused, err := e.controlOnce(ctx, transport, path, body)
	if err != nil && reused && ctx.Err() == nil {
		metricControlRetries.Add(1)
		transport = e.renewControl(transport)
		reply, _, err = e.controlOnce(ctx, transport, path, body)
	}
	if err != nil {
		metricControlFailures.Add(1)
		return serverapi.LeaseReply{}, &backend.ControlError{Server: to.ID, Op: path, Cause: err}
	}
	return reply, nil
}

// controlOnce makes a call on one connection and reports whether the connection
// was reused.
func (e *endpoint) controlOnce(ctx context.Context, transport *http.Transport, path string, body []byte) (reply serverapi.LeaseReply, reused bool, err error) {
	a := newAttempt(ctx, e.target.ID, controlLimit(ctx, e.options.ControlStallTimeout))
	defer a.end()
	request, err := http.NewRequestWithContext(a.ctx, http.MethodPost, "http://"+e.target.Address+path, bytes.NewReader(body))
	if err != nil {
		return reply, false, &RequestError{Cause: err}
	}
	request.GetBody = nil // net/http must not resend the request
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(serverapi.HeaderServer, string(e.target.ID))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply, a.reused.Load(), a.failure(err).Cause
	}
	defer func() { _ = response.Body.Close() }()
	reply, err = readReply(response)
	if err != nil {
		return reply, a.reused.Load(), a.failure(err).Cause
	}
	return reply, a.reused.Load(), nil
}

// controlLimit caps limit at half of the time left before the deadline of ctx, so
// that the other half remains for a second connection.
func controlLimit(ctx context.Context, limit time.Duration) time.Duration {
	if deadline, has := ctx.Deadline(); has {
		limit = min(limit, time.Until(deadline)/2)
	}
	return max(limit, time.Millisecond)
}

// readReply reads a complete reply; a refusal is also a reply.
func readReply(response *http.Response) (serverapi.LeaseReply, error) {
	var reply serverapi.LeaseReply
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusBadRequest:
	default:
		return reply, &StatusError{Status: response.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return reply, err
	case len(data) > maxReplyBytes:
		return reply, &ProtocolError{Problem: "reply too long"}
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return reply, &ProtocolError{Problem: "reply not readable: " + err.Error()}
	}
	return reply, checkReply(response.StatusCode, reply)
}

// checkReply verifies that a reply agrees with its status.
func checkReply(status int, reply serverapi.LeaseReply) error {
	refused := status != http.StatusOK
	if refused != (reply.Refused != "") || reply.Boot == "" || reply.Stamp < 0 {
		return &ProtocolError{Problem: "status and reply disagree, or boot or stamp is missing"}
	}
	if reply.Refused == serverapi.RefusedServer {
		return &OtherServerError{}
	}
	return nil
}
