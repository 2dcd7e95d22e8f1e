package demo

import (
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Summary is the demo's result, written as one line of JSON.
type Summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	// Misdelivered, DualOwner and DoubleRun count violations found in what
	// servers and callers recorded; see package histcheck.
	Misdelivered int `json:"misdelivered"`
	DualOwner    int `json:"dualOwner"`
	DoubleRun    int `json:"doubleRun"`
	// UnavailableMs is the longest time for which a probed key went unanswered.
	UnavailableMs float64 `json:"unavailableMs"`
	// P50Ms and P99Ms are of answered requests, from sending to the whole
	// answer.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Holds reports whether everything held that must hold, and anything was
// answered at all.
func (s Summary) Holds() bool {
	return s.Misdelivered == 0 && s.DualOwner == 0 && s.DoubleRun == 0 && s.Answered > 0
}

// Write writes the summary as one line of JSON.
func (s Summary) Write(w io.Writer) error { return json.NewEncoder(w).Encode(s) }

// Bounds of recorded latencies, in microseconds.
const (
	minLatency        = 1
	maxLatency        = int64(time.Minute / time.Microsecond)
	latencyDigits     = 3
	medianQuantile    = 50
	highQuantile      = 99
	microsecondsPerMs = 1000
)

// violations maps what the checkers found to the summary's three counts: a run
// of a request that was refused as "not run" counts with the runs, and an
// assignment or configuration that went back with the owners.
func (s *Summary) violations(found []histcheck.Violation) {
	s.Misdelivered = histcheck.Count(found, histcheck.RuleWholeAnswer)
	s.DualOwner = histcheck.Count(found, histcheck.RuleSoleOwner) +
		histcheck.Count(found, histcheck.RuleAssignments) +
		histcheck.Count(found, histcheck.RuleSiteVersions)
	s.DoubleRun = histcheck.Count(found, histcheck.RuleAtMostOnce) +
		histcheck.Count(found, histcheck.RuleNotRun)
}

// summarize computes the summary of a history. Probes measure unavailable time
// and are not among the requests.
func summarize(events []history.Event, options histcheck.Options) (Summary, []histcheck.Violation) {
	var summary Summary
	requests := map[string]*requestFate{}
	for _, event := range events {
		switch e := event.(type) {
		case history.CallerSent:
			if IsProbe(e) {
				continue
			}
			if requests[e.CallerRequest] == nil {
				requests[e.CallerRequest] = &requestFate{sentAt: e.At, outcome: serverapi.OutcomeUnknown}
			}
		case history.CallerAnswered:
			if fate := requests[e.CallerRequest]; fate != nil {
				fate.learn(e)
			}
		}
	}
	latencies := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	for _, fate := range requests {
		summary.count(fate, latencies)
	}
	summary.P50Ms = float64(latencies.ValueAtPercentile(medianQuantile)) / microsecondsPerMs
	summary.P99Ms = float64(latencies.ValueAtPercentile(highQuantile)) / microsecondsPerMs
	summary.UnavailableMs = float64(histcheck.Unavailable(events, IsProbe).Longest.Microseconds()) / microsecondsPerMs
	found := histcheck.Check(events, options)
	summary.violations(found)
	return summary, found
}

// requestFate is what became of one request over all attempts at it.
type requestFate struct {
	sentAt     history.Time
	answeredAt history.Time
	outcome    serverapi.Outcome
	decided    bool
	mayHaveRun bool
}

// learn joins the outcome of one more attempt: an answer stands, and "not run"
// stands only if no attempt may have run.
func (f *requestFate) learn(answer history.CallerAnswered) {
	if f.decided && f.outcome == serverapi.OutcomeAnswered {
		return
	}
	f.decided = true
	f.answeredAt = answer.At
	f.outcome = answer.Outcome
	if answer.Outcome == serverapi.OutcomeUnknown {
		f.mayHaveRun = true
	}
	if answer.Outcome == serverapi.OutcomeNotRun && f.mayHaveRun {
		f.outcome = serverapi.OutcomeUnknown
	}
}

func (s *Summary) count(fate *requestFate, latencies *hdrhistogram.Histogram) {
	s.Sent++
	switch fate.outcome {
	case serverapi.OutcomeAnswered:
		s.Answered++
		latency := fate.answeredAt.Sub(fate.sentAt).Microseconds()
		_ = latencies.RecordValue(min(max(latency, minLatency), maxLatency))
	case serverapi.OutcomeNotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}
