package histcheck

import (
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// counterKey identifies one key's counter under one ownership, because a server that
// becomes the owner begins with an empty state.
type counterKey struct {
	key   serviceKey
	fence topo.Fence
}

// counterOperation reads or increments a counter. It takes effect between sent and
// returned.
type counterOperation struct {
	write          bool
	result         counterResult
	sent, returned int64 // returned is never if there was no answer
}

// counterResult is the result that the caller received.
type counterResult struct {
	answered bool
	value    uint64 // after the operation; only when answered
}

// LinearizableCounters checks requests that ran against one counter for each key
// and ownership. A request takes effect once between its first sending and its
// answer; a request without an answer takes effect once at any later time. Every answer
// contains the value after its operation, so a request that ran twice shows as a skipped
// value. Writes are the requests whose methods are not idempotent.
//
// The values determine the order, so the check needs neither a search nor a time limit.
func LinearizableCounters(events []history.Event, options Options, _ time.Duration) Result {
	for _, operations := range counterOperations(events, options) {
		if !isLinearizable(operations) {
			return NotLinearizable
		}
	}
	return Linearizable
}

// counterOperations returns the operations on each counter.
func counterOperations(events []history.Event, options Options) map[counterKey][]counterOperation {
	collector := counterCollector{
		options:    options,
		requests:   collectAttempts(events),
		seen:       map[string]bool{},
		operations: map[counterKey][]counterOperation{},
	}
	for _, r := range collectRuns(events) {
		collector.add(r)
	}
	return collector.operations
}

// counterCollector converts runs into operations: one for each ticket, or one for each
// run without a ticket.
type counterCollector struct {
	options    Options
	requests   map[string]*attempts
	seen       map[string]bool // tickets
	operations map[counterKey][]counterOperation
}

func (c *counterCollector) add(r run) {
	request := c.requests[r.began.CallerRequest]
	if request == nil || len(request.sent) == 0 || r.began.Shard == (topo.ShardID{}) {
		return
	}
	if r.began.Ticket != "" {
		if c.seen[r.began.Ticket] {
			// The second run of a ticket is not a separate operation: its effect must
			// show as a value that the operations do not explain.
			return
		}
		c.seen[r.began.Ticket] = true
	}
	result, returned := request.resultOf(r.began.RequestID)
	write := !c.options.idempotent(r.began.Service, r.began.Method)
	if !write && !result.answered {
		return // without an effect and without an answer
	}
	name := counterKey{serviceKey{r.began.Service, r.began.Key}, r.began.Fence}
	c.operations[name] = append(c.operations[name], counterOperation{
		write:    write,
		result:   result,
		sent:     int64(request.sent[0].At),
		returned: returned,
	})
}

// resultOf returns the result that the caller received in the answers of a run.
func (a *attempts) resultOf(requestID string) (counterResult, int64) {
	result, returned := counterResult{}, never
	for _, answer := range a.answered {
		if answer.Outcome != serverapi.OutcomeAnswered || answer.EchoRequestID != requestID {
			continue
		}
		result = counterResult{answered: true, value: answer.EchoValue}
		returned = min(returned, int64(answer.At))
	}
	return result, returned
}
