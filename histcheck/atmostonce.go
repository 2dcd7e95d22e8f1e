package histcheck

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/history"
)

// AtMostOnce finds tickets that ran more than once, and non-idempotent requests
// without a ticket that ran more often than their caller sent them.
func AtMostOnce(events []history.Event, options Options) []Violation {
	sent := map[string]int{}
	for _, attempt := range history.Select[history.CallerSent](events) {
		sent[attempt.CallerRequest]++
	}
	var found []Violation
	tickets := map[string]history.RunBegan{}
	requests := map[string]int{}
	for _, began := range history.Select[history.RunBegan](events) {
		if began.Ticket != "" {
			if first, ran := tickets[began.Ticket]; ran {
				found = append(found, ranAgain("ticket "+began.Ticket, first, began))
			} else {
				tickets[began.Ticket] = began
			}
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
