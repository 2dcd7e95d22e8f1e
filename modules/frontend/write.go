package frontend

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
)

// copyBytes is the size of the buffer for copying response bodies.
const copyBytes = 32 << 10

// writeVerdict writes a response that originates at this node.
func writeVerdict(w http.ResponseWriter, id string, v outcome.Verdict) {
	writeFailure(w, id, &exchange.Answer{
		Status:     v.Status(),
		Outcome:    v.Outcome,
		Reason:     v.Reason,
		RetryAfter: v.RetryAfter,
	})
}

// writeAnswer writes the answer of the exchange handler. It aborts the connection
// if the server's body is incomplete.
func (h *handler) writeAnswer(w http.ResponseWriter, r *http.Request, id string, answer *exchange.Answer) {
	if answer.Body == nil {
		writeFailure(w, id, answer)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	header := w.Header()
	for name, values := range callerapi.Forwardable(answer.Header) {
		header[name] = values
	}
	if replayed := answer.Header.Get(callerapi.HeaderReplayed); replayed != "" {
		header.Set(callerapi.HeaderReplayed, replayed)
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // prevents net/http from detecting one
	}
	setOutcome(header, id, answer)
	w.WriteHeader(answer.Status)
	if r.Method == http.MethodHead {
		return
	}
	if err := stream(w, answer); err != nil {
		metricAborted.Add(1)
		eventAnswerAborted.Log(h.logger, "request", id, "error", err)
		panic(http.ErrAbortHandler)
	}
}

// stream copies the body; if its length is unknown, it flushes after each read.
// It returns an error if the body did not reach the caller completely.
func stream(w http.ResponseWriter, answer *exchange.Answer) error {
	controller := http.NewResponseController(w)
	flush := answer.Header.Get("Content-Length") == ""
	buffer := make([]byte, copyBytes)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if flush {
			_ = controller.Flush()
		}
	}
}

func writeFailure(w http.ResponseWriter, id string, answer *exchange.Answer) {
	setOutcome(w.Header(), id, answer)
	writeJSON(w, answer.Status, callerapi.Failure{
		Outcome:      answer.Outcome,
		Reason:       answer.Reason,
		RequestID:    id,
		RetryAfterMs: int64(answer.RetryAfter / time.Millisecond),
	})
}

func writeTicket(w http.ResponseWriter, id string, ticket callerapi.Ticket) {
	w.Header().Set(callerapi.HeaderRequestID, id)
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, http.StatusCreated, ticket)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	text = append(text, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func setOutcome(header http.Header, id string, answer *exchange.Answer) {
	header.Set(callerapi.HeaderRequestID, id)
	header.Set(callerapi.HeaderOutcome, string(answer.Outcome))
	if answer.Reason != "" {
		header.Set(callerapi.HeaderReason, string(answer.Reason))
	}
	if answer.RetryAfter > 0 {
		header.Set(callerapi.HeaderRetryAfter, callerapi.RetryAfterSeconds(answer.RetryAfter))
	}
}
