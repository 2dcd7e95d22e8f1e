package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// catchUpTimeout limits how long a forwarded request waits for this node's state
// to reach the offset of the sender's state.
const catchUpTimeout = 500 * time.Millisecond

// serveForward answers a request that another node forwarded. It never forwards
// the request again.
func (m *Module) serveForward(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	metricForwardedIn.Add(1)
	_ = http.NewResponseController(w).EnableFullDuplex()
	form, err := decodeForwardedRequest(r.Header.Get(headerForward))
	if err != nil {
		eventForwardRejected.Log(m.logger, "from", r.RemoteAddr, "error", err)
		http.Error(w, "cannot read the forwarded request", http.StatusBadRequest)
		return
	}
	writer := newAnswerWriter(w, form.ID, keepAliveInterval(m.settings.Timing.LeaseTTL))
	defer writer.stop()
	req := form.request(arrived, callerapi.Forwardable(r.Header))
	req.Header.Del("Content-Length")
	answer, refused := m.acceptForwarded(r.Context(), req, form, r.Body)
	if answer == nil {
		answer = refusal(withRetryAfter(refused))
	}
	writer.write(m, req, answer)
}

// acceptForwarded checks a forwarded request and serves it. The answer is
// nil when the request is refused.
func (m *Module) acceptForwarded(ctx context.Context, req *exchange.Request, form forwardedRequest, body io.Reader) (*exchange.Answer, outcome.Verdict) {
	if req.ForwardedBy == m.self.Node {
		eventForwardLoop.Log(m.logger, "request", req.ID)
		return nil, outcome.NotRun(callerapi.ReasonLoop)
	}
	if form.To != m.self.Node {
		return nil, outcome.NotRun(callerapi.ReasonNotLessor)
	}
	if !m.catchUp(ctx, req) {
		return nil, outcome.NotRun(callerapi.ReasonNotLessor)
	}
	bodyLimit, exists := m.BodyLimit(req.Service)
	if !exists {
		return nil, outcome.NotRun(callerapi.ReasonUnknownService)
	}
	var err error
	if req.Body, err = exchange.NewBody(body, form.Length, bodyLimit, replayBufferBytes); err != nil {
		return nil, outcome.NotRun(bodyErrorReason(err))
	}
	return m.Serve(ctx, req), outcome.Verdict{}
}

func bodyErrorReason(err error) serverapi.Reason {
	var large *exchange.TooLargeError
	if errors.As(err, &large) {
		return callerapi.ReasonBodyTooLarge
	}
	return callerapi.ReasonBodyUnreadable
}

// catchUp waits until this node's state has reached the offset of the sender's state,
// and reports whether it has.
func (m *Module) catchUp(ctx context.Context, req *exchange.Request) bool {
	if m.source.View().Applied() >= req.MinApplied {
		return true
	}
	wait := min(catchUpTimeout, time.Until(req.Deadline))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return m.source.WaitApplied(ctx, req.MinApplied) == nil
}

// answerWriter writes one answer to a forwarded request, and 102 responses as
// keep-alives until then.
type answerWriter struct {
	id    string
	every time.Duration // between keep-alives

	mu     sync.Mutex
	w      http.ResponseWriter
	closed bool // the final header was written, or the handler is done
	timer  *time.Timer
}

func newAnswerWriter(w http.ResponseWriter, id string, every time.Duration) *answerWriter {
	a := &answerWriter{w: w, id: id, every: every}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(every, a.writeKeepAlive)
	return a
}

func (a *answerWriter) writeKeepAlive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.w.WriteHeader(http.StatusProcessing)
	a.timer.Reset(a.every)
}

func (a *answerWriter) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.timer.Stop()
}

// write passes an answer on. It aborts the connection when the server's body is
// incomplete.
func (a *answerWriter) write(m *Module, req *exchange.Request, answer *exchange.Answer) {
	a.stop()
	form := forwardedAnswer{
		Format:       forwardFormat,
		ID:           a.id,
		Status:       answer.Status,
		Outcome:      answer.Outcome,
		Reason:       answer.Reason,
		RetryAfterMs: answer.RetryAfter.Milliseconds(),
		HasBody:      answer.Body != nil,
		Length:       answer.Header.Get("Content-Length"),
		Replayed:     answer.Header.Get(callerapi.HeaderReplayed) != "",
		Server:       req.PreferredServer,
		Load:         m.reportedLoad(req),
	}
	header := a.w.Header()
	for name, values := range callerapi.Forwardable(answer.Header) {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	header.Set(headerForward, encodeForward(form))
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // otherwise net/http guesses one
	}
	a.w.WriteHeader(http.StatusOK)
	if answer.Body == nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if copyAnswer(a.w, answer.Body) != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyAnswer copies the body and flushes after each partial read.
func copyAnswer(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, readAheadBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, failed := w.Write(buffer[:count]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if count == len(buffer) {
			continue
		}
		if failed := controller.Flush(); failed != nil {
			return failed
		}
	}
}

// reportedLoad returns the load of the server that the forwarding node chose.
func (m *Module) reportedLoad(req *exchange.Request) float64 {
	if req.PreferredServer == "" {
		return 0
	}
	gate, exists := m.gates.Find(req.PreferredServer)
	if !exists {
		gate, exists = m.deputyGates.Find(req.PreferredServer)
	}
	if !exists {
		return 0
	}
	used, window := gate.Load()
	return float64(used) / float64(window)
}
