package histcheck

import (
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// counterName is one key's counter under one ownership: a server that becomes
// the owner begins with an empty state.
type counterName struct {
	key   serviceKey
	fence topo.Fence
}

// counterOperation reads or increments a counter. It takes effect between the two
// times.
type counterOperation struct {
	write          bool
	result         counterResult
	sent, returned int64 // returned is never without an answer
}

// counterResult is what the caller learnt.
type counterResult struct {
	answered bool
	value    uint64 // after the operation; only when answered
}

// LinearizableCounters checks requests that ran against a counter for each key
// and ownership: a request takes effect once between its first sending and its
// answer, one without an answer once at any later time, and every answer shows
// the value that follows. A request that ran twice shows as a skipped value.
// Writes are the methods that are not idempotent.
//
// The values tell the order, so it is not searched for and no limit is needed.
func LinearizableCounters(events []history.Event, options Options, _ time.Duration) Result {
	for _, operations := range counterOperations(events, options) {
		if !ordered(operations) {
			return NotLinearizable
		}
	}
	return Linearizable
}

// counterOperations returns the operations on each counter.
func counterOperations(events []history.Event, options Options) map[counterName][]counterOperation {
	collector := counterCollector{
		options:    options,
		requests:   collectAttempts(events),
		seen:       map[string]bool{},
		operations: map[counterName][]counterOperation{},
	}
	for _, r := range collectRuns(events) {
		collector.add(r)
	}
	return collector.operations
}

// counterCollector turns runs into operations, one for each ticket, or for each
// run when there is none.
type counterCollector struct {
	options    Options
	requests   map[string]*attempts
	seen       map[string]bool // tickets
	operations map[counterName][]counterOperation
}

func (c *counterCollector) add(r run) {
	request := c.requests[r.began.CallerRequest]
	if request == nil || len(request.sent) == 0 || r.began.Shard == (topo.ShardID{}) {
		return
	}
	if r.began.Ticket != "" {
		if c.seen[r.began.Ticket] {
			// The second run of a ticket is no operation of its own: its effect
			// has to show as a value that the operations do not explain.
			return
		}
		c.seen[r.began.Ticket] = true
	}
	result, returned := request.learnt(r.began.RequestID)
	write := !c.options.idempotent(r.began.Service, r.began.Method)
	if !write && !result.answered {
		return // without an effect and without an answer
	}
	name := counterName{serviceKey{r.began.Service, r.began.Key}, r.began.Fence}
	c.operations[name] = append(c.operations[name], counterOperation{
		write:    write,
		result:   result,
		sent:     int64(request.sent[0].At),
		returned: returned,
	})
}

// learnt returns what the answers that came from a run told the caller.
func (a *attempts) learnt(requestID string) (counterResult, int64) {
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
