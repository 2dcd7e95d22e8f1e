package router

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	group    = metrics.New("gateway_requests")
	outcomes = group.Map("by_service_outcome_and_reason")
	sends    = group.Counter("sends")
	// budgetLeft is the remaining retry budget of each service on this node, in
	// hundredths of a send.
	budgetLeft = group.Map("retry_budget_left_hundredths")
	// budgetRequests and budgetSends count what the budget of each service is made of: its requests and the sends
	// that were taken out of it. Their sums over all nodes show whether the budget holds.
	budgetRequests = group.Map("retry_budget_requests")
	budgetSends    = group.Map("retry_budget_sends")
	linesDropped   = group.Counter("log_lines_left_out")
	// forwardsSent counts requests forwarded to other nodes, forwardsReceived those of other
	// nodes.
	forwardsSent     = group.Counter("forwarded_to_other_nodes")
	forwardsReceived = group.Counter("forwarded_by_other_nodes")
	// loadChecks counts health checks of servers before requests.
	loadChecks = group.Counter("load_checks")
	// largeAnswerBytes is what the large answers in flight take: expected bytes until an answer is there, then its own.
	largeAnswerBytes    = group.Counter("large_answer_bytes")
	largeAnswersWaited  = group.Map("large_answers_waited_by_reason")
	largeAnswersRefused = group.Map("large_answers_refused_by_reason")
	// crashedRequests counts requests that were in flight at a server when it ended.
	crashedRequests = group.Counter("in_flight_when_server_ended")
	// crashesUnwatched counts ended connections for which the server was not watched.
	crashesUnwatched = group.Counter("server_ends_not_watched")
)

// Range of the latency histograms in microseconds, and their significant digits.
const (
	histogramMin    = 100
	histogramMax    = 60_000_000
	histogramDigits = 2
)

// histograms records durations by service.
type histograms struct {
	mu        sync.Mutex
	byService map[string]*hdrhistogram.Histogram
}

var (
	latencies = newHistograms() // of answered requests
	waits     = newHistograms() // for a slot at a server
)

func init() {
	expvar.Publish("gateway_latency_us", expvar.Func(latencies.summary))
	expvar.Publish("gateway_wait_us", expvar.Func(waits.summary))
}

func newHistograms() *histograms {
	return &histograms{byService: map[string]*hdrhistogram.Histogram{}}
}

func (h *histograms) record(service string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byService[service]
	if histogram == nil {
		histogram = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
		h.byService[service] = histogram
	}
	value := min(max(took.Microseconds(), histogramMin), histogramMax)
	if err := histogram.RecordValue(value); err != nil {
		outcomes.Add("time not recorded", 1)
	}
}

// summary returns count and percentiles for each service.
func (h *histograms) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	type figures struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P90   int64 `json:"p90"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}
	all := map[string]figures{}
	for service, histogram := range h.byService {
		all[service] = figures{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(50),
			P90:   histogram.ValueAtQuantile(90),
			P99:   histogram.ValueAtQuantile(99),
			Max:   histogram.Max(),
		}
	}
	return all
}

func countOutcome(x *exchange, outcome, reason string) {
	x.countReturned(outcome)
	service := "none"
	if x.service != nil {
		service = string(x.service.name)
	}
	name := service + " " + outcome
	if x.forwarded != nil {
		name = "forwarded: " + name
	}
	if reason != "" && outcome == "refused" {
		name += ": " + reason
	}
	outcomes.Add(name, 1)
	sends.Add(int64(x.sends - x.priorSends - x.peerSends)) // other nodes count theirs
	if outcome == "answered" {
		latencies.record(service, x.elapsed())
	}
}
