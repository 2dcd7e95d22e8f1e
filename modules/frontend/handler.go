package frontend

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// bufferBytes is the size of the prefix of a request body that is read before the
// first attempt, so that the request can be resent.
const bufferBytes = 64 << 10

// idBase is the number base of request IDs; 36 keeps them short.
const idBase = 36

// handler converts HTTP requests of callers to exchange requests.
type handler struct {
	next     exchange.Handler
	idPrefix string // identifies this incarnation of the node
	sequence atomic.Uint64
	drain    *drainState
	logger   hclog.Logger
}

// nextID returns a request ID. It consists of the node's incarnation and a
// sequence number, so that it can be found in logs, and a random part, so that it
// cannot be guessed.
func (h *handler) nextID() string {
	id := h.idPrefix + strconv.FormatUint(h.sequence.Add(1), idBase)
	return id + "-" + strconv.FormatUint(rand.Uint64(), idBase)
}

// serve handles all requests but those to the health endpoint.
func (h *handler) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	_ = http.NewResponseController(w).EnableFullDuplex()
	id := h.nextID()
	metricRequests.Add(1)
	if !h.drain.healthy() {
		// Closing the connection sends the caller's next request to another node,
		// so that no connection is in use when the listener closes.
		w.Header().Set("Connection", "close")
	}
	if !h.drain.enter() {
		metricRefused.Add(1)
		writeVerdict(w, id, outcome.NotRun(serverapi.ReasonDraining).WithRetryAfter(drainRetryAfter))
		return
	}
	defer h.drain.leave()
	metricInFlight.Add(1)
	defer metricInFlight.Add(-1)
	target, err := callerapi.ParsePath(r.URL.EscapedPath())
	if err != nil {
		metricMalformed.Add(1)
		writeVerdict(w, id, outcome.NotRun(reasonOf(err)))
		return
	}
	if target.Ticket {
		h.issueTicket(w, r, id, target)
		return
	}
	req, err := h.parse(r, id, arrived, target)
	if err != nil {
		metricMalformed.Add(1)
		writeVerdict(w, id, outcome.NotRun(reasonOf(err)))
		return
	}
	h.writeAnswer(w, r, id, h.next.Serve(r.Context(), req))
}

func (h *handler) parse(r *http.Request, id string, arrived time.Time, target callerapi.Target) (*exchange.Request, error) {
	limit, exists := h.next.BodyLimit(target.Service)
	if !exists {
		return nil, &callerapi.PathError{Reason: callerapi.ReasonUnknownService}
	}
	req := &exchange.Request{
		ID:      id,
		Service: target.Service,
		Keyed:   target.Keyed,
		Key:     target.Key,
		Method:  r.Method,
		Path:    "/" + target.Rest,
		Header:  callerapi.Forwardable(r.Header),
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if err := parseHeaders(r, req, arrived); err != nil {
		return nil, err
	}
	var err error
	req.Body, err = exchange.NewBody(r.Body, r.ContentLength, limit, bufferBytes)
	return req, err
}

func parseHeaders(r *http.Request, req *exchange.Request, arrived time.Time) error {
	wait, err := callerapi.ParseDeadline(r.Header.Get(callerapi.HeaderDeadlineMs))
	if err != nil {
		return err
	}
	if wait > 0 {
		req.Deadline = arrived.Add(wait)
	}
	if req.Hop, err = callerapi.ParseHop(r.Header.Get(callerapi.HeaderHop)); err != nil {
		return err
	}
	if req.Caller, err = callerapi.ParseCaller(r.Header.Get(callerapi.HeaderCaller)); err != nil {
		return err
	}
	req.Ticket = r.Header.Get(callerapi.HeaderIdempotencyKey)
	if len(req.Ticket) > callerapi.MaxTicketBytes {
		return &callerapi.HeaderError{Header: callerapi.HeaderIdempotencyKey, Reason: callerapi.ReasonBadTicket}
	}
	req.Header.Del(callerapi.HeaderIdempotencyKey)
	req.Header.Del("Content-Length")
	return nil
}

func (h *handler) issueTicket(w http.ResponseWriter, r *http.Request, id string, target callerapi.Target) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		writeVerdict(w, id, outcome.NotRun(callerapi.ReasonMethodNotAllowed))
		return
	}
	ticket, refusal := h.next.IssueTicket(r.Context(), target.Service, target.Keyed, target.Key)
	if refusal != nil {
		h.writeAnswer(w, r, id, refusal)
		return
	}
	metricTickets.Add(1)
	writeTicket(w, id, ticket)
}

// reasonOf returns the refusal reason for a request that could not be parsed.
func reasonOf(err error) serverapi.Reason {
	var path *callerapi.PathError
	if errors.As(err, &path) {
		return path.Reason
	}
	var header *callerapi.HeaderError
	if errors.As(err, &header) {
		return header.Reason
	}
	var large *exchange.TooLargeError
	if errors.As(err, &large) {
		return callerapi.ReasonBodyTooLarge
	}
	return callerapi.ReasonBodyUnreadable
}
