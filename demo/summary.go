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
	// Misdelivered, DualOwner and DoubleRun count violations found in the history that
	// servers and callers recorded; see package histcheck.
	Misdelivered int `json:"misdelivered"`
	DualOwner    int `json:"dualOwner"`
	DoubleRun    int `json:"doubleRun"`
	// UnavailableMs is the longest time for which a probed key was not served, in milliseconds.
	UnavailableMs float64 `json:"unavailableMs"`
	// P50Ms and P99Ms are latencies of answered requests, from sending to the whole
	// answer, in milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Passed reports whether no invariant was violated and at least one request was
// answered.
func (s Summary) Passed() bool {
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

// violations maps the violations to the summary's three counts: a run
// of a request that was refused as "not run" counts as a double run, and an
// assignment or configuration that reverted counts as a dual owner.
func (s *Summary) violations(found []histcheck.Violation) {
	s.Misdelivered = histcheck.Count(found, histcheck.RuleWholeAnswer)
	s.DualOwner = histcheck.Count(found, histcheck.RuleSoleOwner) +
		histcheck.Count(found, histcheck.RuleAssignments) +
		histcheck.Count(found, histcheck.RuleSiteVersions)
	s.DoubleRun = histcheck.Count(found, histcheck.RuleAtMostOnce) +
		histcheck.Count(found, histcheck.RuleNotRun)
}

// summarize computes the summary of a history. Probes measure unavailable time
// and are not counted as requests.
func summarize(events []history.Event, options histcheck.Options) (Summary, []histcheck.Violation) {
	var summary Summary
	requests := map[string]*requestOutcome{}
	for _, event := range events {
		switch e := event.(type) {
		case history.CallerSent:
			if IsProbe(e) {
				continue
			}
			if requests[e.CallerRequest] == nil {
				requests[e.CallerRequest] = &requestOutcome{sentAt: e.At, outcome: serverapi.OutcomeUnknown}
			}
		case history.CallerAnswered:
			if request := requests[e.CallerRequest]; request != nil {
				request.record(e)
			}
		}
	}
	latencies := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	for _, request := range requests {
		summary.count(request, latencies)
	}
	summary.P50Ms = float64(latencies.ValueAtPercentile(medianQuantile)) / microsecondsPerMs
	summary.P99Ms = float64(latencies.ValueAtPercentile(highQuantile)) / microsecondsPerMs
	summary.UnavailableMs = float64(histcheck.Unavailable(events, IsProbe).Longest.Microseconds()) / microsecondsPerMs
	found := histcheck.Check(events, options)
	summary.violations(found)
	return summary, found
}

// requestOutcome is the outcome of one request over all its attempts.
type requestOutcome struct {
	sentAt     history.Time
	answeredAt history.Time
	outcome    serverapi.Outcome
	decided    bool
	mayHaveRun bool
}

// record merges the outcome of one more attempt: an answer is final, and "not run"
// is the result only if no attempt may have run.
func (f *requestOutcome) record(answer history.CallerAnswered) {
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

func (s *Summary) count(request *requestOutcome, latencies *hdrhistogram.Histogram) {
	s.Sent++
	switch request.outcome {
	case serverapi.OutcomeAnswered:
		s.Answered++
		latency := request.answeredAt.Sub(request.sentAt).Microseconds()
		_ = latencies.RecordValue(min(max(latency, minLatency), maxLatency))
	case serverapi.OutcomeNotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}
