package histcheck

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// WholeAnswer finds answers recorded as whole that were truncated, belong
// to another request, or come from a run that does not exist or was not committed. A
// caller whose connection failed records "unknown", not "answered".
func WholeAnswer(events []history.Event) []Violation {
	runs := map[string]run{}
	for _, r := range collectRuns(events) {
		runs[r.began.RequestID] = r
	}
	sent := map[string]history.CallerSent{}
	for _, attempt := range history.Select[history.CallerSent](events) {
		sent[attempt.CallerRequest] = attempt
	}
	var found []Violation
	for _, answer := range history.Select[history.CallerAnswered](events) {
		if answer.Outcome != serverapi.OutcomeAnswered {
			continue
		}
		problem := wrongAnswer(answer, sent[answer.CallerRequest], runs)
		if problem == "" {
			continue
		}
		found = append(found, Violation{
			Rule:    RuleWholeAnswer,
			At:      answer.At,
			Subject: "request " + answer.CallerRequest,
			Detail:  problem,
		})
	}
	return found
}

// wrongAnswer describes the fault of an answer; it is empty if there is none.
func wrongAnswer(answer history.CallerAnswered, sent history.CallerSent, runs map[string]run) string {
	r, ran := runs[answer.EchoRequestID]
	switch {
	case !answer.Whole:
		return "answer is not whole"
	case answer.EchoCallerRequest != answer.CallerRequest:
		return "answer to " + answer.EchoCallerRequest
	case answer.EchoKey != sent.Key:
		return "answer for key " + answer.EchoKey
	case answer.EchoBodyDigest != sent.BodyDigest:
		return "answer to another body"
	case !ran:
		return "answer of " + answer.EchoRequestID + ", which no server ran"
	case r.began.CallerRequest != answer.CallerRequest:
		return fmt.Sprintf("answer of %s, which ran %s", answer.EchoRequestID, r.began.CallerRequest)
	case !r.committed():
		return "answer of " + answer.EchoRequestID + ", which was not committed"
	case r.ended.Value != answer.EchoValue:
		return fmt.Sprintf("answer says value %d, the run says %d", answer.EchoValue, r.ended.Value)
	}
	return ""
}
