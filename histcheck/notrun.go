package histcheck

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// attempts is a caller's record of one of its requests.
type attempts struct {
	sent     []history.CallerSent
	answered map[int]history.CallerAnswered // by attempt number
}

// mayRunAt counts the attempts sent up to a moment and not refused as "not run" by
// then.
func (a *attempts) mayRunAt(at history.Time) int {
	count := 0
	for _, sent := range a.sent {
		answer, known := a.answered[sent.Attempt]
		refused := known && answer.Outcome == serverapi.OutcomeNotRun
		if sent.At <= at && !refused {
			count++
		}
	}
	return count
}

// NotRun finds runs of requests for which every attempt sent before the run was refused
// as "not run". A request that is not idempotent may not run more often than it has
// attempts without such a refusal.
func NotRun(events []history.Event, options Options) []Violation {
	requests := collectAttempts(events)
	var found []Violation
	ran := map[string]int{}
	for _, began := range history.Select[history.RunBegan](events) {
		request, known := requests[began.CallerRequest]
		if !known {
			continue
		}
		ran[began.CallerRequest]++
		wanted := 1
		if !options.idempotent(began.Service, began.Method) && began.Ticket == "" {
			wanted = ran[began.CallerRequest]
		}
		if request.mayRunAt(began.At) >= wanted {
			continue
		}
		found = append(found, Violation{
			Rule:    RuleNotRun,
			At:      began.At,
			Subject: "request " + began.CallerRequest,
			Detail:  fmt.Sprintf("refused as not run, but %s ran it as %s", began.Server, began.RequestID),
		})
	}
	return found
}

func collectAttempts(events []history.Event) map[string]*attempts {
	requests := map[string]*attempts{}
	of := func(name string) *attempts {
		if requests[name] == nil {
			requests[name] = &attempts{answered: map[int]history.CallerAnswered{}}
		}
		return requests[name]
	}
	for _, event := range events {
		switch e := event.(type) {
		case history.CallerSent:
			request := of(e.CallerRequest)
			request.sent = append(request.sent, e)
		case history.CallerAnswered:
			of(e.CallerRequest).answered[e.Attempt] = e
		}
	}
	return requests
}
