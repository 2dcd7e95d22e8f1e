package server

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

const recordsPrefix = serverapi.PathRequest + "records/"

// serveRequest is a request with its parsed protocol headers and path.
type serveRequest struct {
	method        string
	path          string // with query, for the ticket's fingerprint
	requestID     string
	callerRequest string
	service       topo.Service
	key           string
	shard         topo.ShardID
	fence         topo.Fence
	ticketText    string
	deadline      time.Duration // remaining time; 0 for no deadline
	progressEvery time.Duration // 0 for no progress reports
	size          int64         // requested filler bytes of the answer
	put           uint64        // value that PUT sets
	bodyDigest    string        // set after the body was read
}

// refusal is the answer to a request that is refused.
type refusal struct {
	status  int
	outcome serverapi.Outcome
	reason  serverapi.Reason
	problem string
}

func badRequest(problem string) *refusal {
	return &refusal{
		status: http.StatusBadRequest, outcome: serverapi.OutcomeNotRun,
		reason: serverapi.ReasonBadRequest, problem: problem,
	}
}

// parseRequest parses the protocol headers and the path.
func (s *Server) parseRequest(r *http.Request) (serveRequest, *refusal) {
	req := serveRequest{
		method:        r.Method,
		path:          r.URL.RequestURI(),
		requestID:     r.Header.Get(serverapi.HeaderRequestID),
		callerRequest: r.Header.Get(history.HeaderCallerRequest),
		service:       topo.Service(r.Header.Get(serverapi.HeaderService)),
		ticketText:    r.Header.Get(serverapi.HeaderIdempotencyKey),
	}
	if req.requestID == "" {
		return req, badRequest("request ID missing")
	}
	if s.isForOtherServer(r) {
		return req, &refusal{
			status: http.StatusMisdirectedRequest, outcome: serverapi.OutcomeNotRun,
			reason: serverapi.ReasonNotOwner, problem: "another server's request",
		}
	}
	if s.config.Service != "" && req.service != s.config.Service {
		return req, badRequest("another service's request")
	}
	var found bool
	if req.key, found = keyOfPath(r.URL); !found {
		refused := badRequest("no such path")
		refused.status = http.StatusNotFound
		return req, refused
	}
	if refused := req.parseOwnership(r.Header, s.config.Keyed); refused != nil {
		return req, refused
	}
	return req, req.parseNumbers(r)
}

// keyOfPath returns the key in /serve/records/KEY or below.
func keyOfPath(address *url.URL) (key string, ok bool) {
	rest, found := strings.CutPrefix(address.EscapedPath(), recordsPrefix)
	if !found {
		return "", false
	}
	segment, _, _ := strings.Cut(rest, "/")
	key, err := url.PathUnescape(segment)
	return key, err == nil && key != ""
}

func (req *serveRequest) parseOwnership(header http.Header, keyed bool) *refusal {
	if !keyed {
		return nil
	}
	key, err := serverapi.DecodeValue(header.Get(serverapi.HeaderKey))
	if err != nil || key != req.key {
		return badRequest("key of path and header differ")
	}
	shard, err := serverapi.DecodeValue(header.Get(serverapi.HeaderShard))
	if err != nil {
		return badRequest(err.Error())
	}
	if req.shard, err = topo.ParseShardID(shard); err != nil {
		return badRequest(err.Error())
	}
	if req.fence, err = topo.ParseFence(header.Get(serverapi.HeaderFence)); err != nil {
		return badRequest(err.Error())
	}
	return nil
}

// parseNumbers parses the numeric headers and query parameters.
func (req *serveRequest) parseNumbers(r *http.Request) *refusal {
	query := r.URL.Query()
	var deadlineMs, progressMs, put int64
	for _, field := range []struct {
		text  string
		value *int64
	}{
		{r.Header.Get(serverapi.HeaderDeadlineMs), &deadlineMs},
		{r.Header.Get(serverapi.HeaderProgressMs), &progressMs},
		{query.Get("size"), &req.size},
		{query.Get("value"), &put},
	} {
		if field.text == "" {
			continue
		}
		value, err := strconv.ParseInt(field.text, 10, 32)
		if err != nil || value < 0 {
			return badRequest("not a number: " + field.text)
		}
		*field.value = value
	}
	if r.Header.Get(serverapi.HeaderDeadlineMs) == "0" {
		return deadlinePassed(serverapi.OutcomeNotRun)
	}
	req.deadline = time.Duration(deadlineMs) * time.Millisecond
	req.progressEvery = time.Duration(progressMs) * time.Millisecond
	req.put = uint64(put)
	return nil
}

// applyTo applies the method to the key's value and returns the value: POST adds 1
// (not idempotent), PUT sets it, and other methods read it.
func (req *serveRequest) applyTo(values map[string]uint64) uint64 {
	switch req.method {
	case http.MethodPost:
		values[req.key]++
	case http.MethodPut:
		values[req.key] = req.put
	}
	return values[req.key]
}
