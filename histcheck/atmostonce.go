package histcheck

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/history"
)

// AtMostOnce finds tickets that ran more than once, requests that ran under more
// than one ticket, and non-idempotent requests without a ticket that ran more
// often than their caller sent them.
func AtMostOnce(events []history.Event, options Options) []Violation {
	sent := map[string]int{}
	for _, attempt := range history.Select[history.CallerSent](events) {
		sent[attempt.CallerRequest]++
	}
	var found []Violation
	ticketed := map[string]history.RunBegan{} // by ticket and by caller request
	requests := map[string]int{}
	for _, began := range history.Select[history.RunBegan](events) {
		if began.Ticket != "" {
			subject := "ticket " + began.Ticket
			first, ran := ticketed[subject]
			if !ran && began.CallerRequest != "" {
				subject = "request " + began.CallerRequest
				first, ran = ticketed[subject]
			}
			if ran {
				found = append(found, ranAgain(subject, first, began))
			}
			ticketed["ticket "+began.Ticket] = began
			ticketed["request "+began.CallerRequest] = began
			continue
		}
		if options.idempotent(began.Service, began.Method) || began.CallerRequest == "" {
			continue
		}
		requests[began.CallerRequest]++
		if requests[began.CallerRequest] > max(1, sent[began.CallerRequest]) {
			found = append(found, ranAgain("request "+began.CallerRequest, began, began))
		}
	}
	return found
}

func ranAgain(subject string, first, second history.RunBegan) Violation {
	return Violation{
		Rule:    RuleAtMostOnce,
		At:      second.At,
		Subject: subject,
		Detail: fmt.Sprintf("ran at %s as %s at %v, and at %s as %s",
			first.Server, first.RequestID, first.At.Sub(0), second.Server, second.RequestID),
	}
}
