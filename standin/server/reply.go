package server

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/ticket"
)

const (
	headerContentType   = "Content-Type"
	headerContentLength = "Content-Length"
	answerType          = "application/x-standin-answer"
)

// sendRefusal sends the answer to a request that is refused.
func sendRefusal(w http.ResponseWriter, r *refusal) {
	w.Header().Set(serverapi.HeaderOutcome, string(r.outcome))
	w.Header().Set(serverapi.HeaderReason, string(r.reason))
	body := r.problem + "\n"
	w.Header().Set(headerContentType, "text/plain; charset=utf-8")
	w.Header().Set(headerContentLength, strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}

func badTicket(problem string) *refusal {
	return &refusal{
		status: http.StatusUnprocessableEntity, outcome: serverapi.OutcomeNotRun,
		reason: serverapi.ReasonBadTicket, problem: problem,
	}
}

// deadlinePassed returns the refusal of a request whose deadline passed or which was
// cancelled.
func deadlinePassed(outcome serverapi.Outcome) *refusal {
	return &refusal{status: http.StatusGatewayTimeout, outcome: outcome, reason: serverapi.ReasonDeadline}
}

// refusalFor returns the refusal for a verdict that does not allow a run.
func refusalFor(verdict ticket.Verdict) *refusal {
	unknown := &refusal{status: http.StatusConflict, outcome: serverapi.OutcomeUnknown}
	switch verdict {
	case ticket.Mismatch:
		return badTicket("ticket of another request")
	case ticket.Duplicate:
		unknown.reason = serverapi.ReasonDuplicate
	case ticket.Gone:
		unknown.reason = serverapi.ReasonAnswerGone
	default:
		unknown.reason = serverapi.ReasonStaleTicket
	}
	return unknown
}

// answerTo builds the answer to a request that ran.
func (s *Server) answerTo(inc *incarnation, req serveRequest, value uint64) Answer {
	return Answer{
		Server: s.config.ID, Boot: inc.boot, Service: req.service, Key: req.key,
		RequestID: req.requestID, CallerRequest: req.callerRequest, Method: req.method,
		BodyDigest: req.bodyDigest, Value: value, Size: req.size,
	}
}

// send writes an answer in parts, as they are generated.
func (s *Server) send(w http.ResponseWriter, answer Answer) {
	head := answer.head()
	w.Header().Set(serverapi.HeaderOutcome, string(serverapi.OutcomeAnswered))
	w.Header().Set(headerContentType, answerType)
	w.Header().Set(headerContentLength, strconv.FormatInt(int64(len(head))+answer.Size, 10))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(head); err != nil {
		return
	}
	_ = writeFiller(w, answer.CallerRequest, answer.Size)
}

// storedAnswer returns an answer in the form that the record of tickets stores; nil
// when its filler exceeds limit.
func storedAnswer(answer Answer, limit int) *ticket.Answer {
	if answer.Size > int64(limit) {
		return nil
	}
	var body bytes.Buffer
	body.Write(answer.head())
	_ = writeFiller(&body, answer.CallerRequest, answer.Size)
	return &ticket.Answer{Status: http.StatusOK, Body: body.Bytes()}
}

// replay sends a stored answer.
func replay(w http.ResponseWriter, stored *ticket.Answer) {
	w.Header().Set(serverapi.HeaderOutcome, string(serverapi.OutcomeAnswered))
	w.Header().Set(serverapi.HeaderReplayed, "true")
	w.Header().Set(headerContentType, answerType)
	w.Header().Set(headerContentLength, strconv.Itoa(len(stored.Body)))
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}
