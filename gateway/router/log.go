package router

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var (
	eventRequest = events.Define(2200, hclog.Info, "request finished")
	eventDropped = events.Define(2201, hclog.Warn, "request log lines dropped")
)

// trace records the steps of a request in order, for its log line.
type trace struct{ steps []string }

func (t *trace) note(step string) { t.steps = append(t.steps, step) }

func (t *trace) noteWait(d time.Duration) { t.note("waited " + milliseconds(d)) }

func (t *trace) noteAttempt(s attemptResult) {
	step := "sent to " + string(s.server.ID) + ", "
	if s.peer != nil {
		step = "forwarded to " + s.peer.Node + ", "
	}
	switch {
	case s.err != nil:
		step += s.err.Error()
	case s.answer.NotRun:
		step += "not run, status " + strconv.Itoa(s.answer.Status)
	default:
		step += "status " + strconv.Itoa(s.answer.Status)
	}
	if s.err == nil && s.answer.Load != nil {
		step += ", load " + loadText(*s.answer.Load)
	}
	t.note(step + " after " + milliseconds(s.duration))
}

func loadText(l site.Load) string {
	return strconv.Itoa(l.Running) + "+" + strconv.Itoa(l.Waiting) + "/" + strconv.Itoa(l.Slots)
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + " ms" }

// Limits of request log lines, in lines per second and node. Writing a line takes
// about 20 microseconds.
const (
	maxFailedLines   = 40 // of requests that failed
	maxAnsweredLines = 2  // of all other requests, as a sample
)

// lineBudget limits the rate of request log lines.
type lineBudget struct {
	mu       sync.Mutex
	resetAt  time.Time // when the budget was last reset
	failed   int
	answered int
	dropped  int
}

// take reports whether a line may be written. In the first call of a second, it also
// returns how many lines of failed requests were dropped since the budget was last reset.
func (b *lineBudget) take(failed bool, now time.Time) (allowed bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.resetAt) >= time.Second {
		dropped = b.dropped
		b.resetAt, b.failed, b.answered, b.dropped = now, maxFailedLines, maxAnsweredLines, 0
	}
	remaining := &b.answered
	if failed {
		remaining = &b.failed
	}
	if *remaining == 0 {
		if failed {
			b.dropped++
		}
		return false, dropped
	}
	*remaining--
	return true, dropped
}

// log counts the outcome of a request and writes its log line.
func (x *exchange) log(outcome string, status int, reason string) {
	countOutcome(x, outcome, reason)
	allowed, dropped := x.router.lines.take(outcome != "answered" || status >= 500, time.Now())
	if dropped > 0 {
		linesDropped.Add(int64(dropped))
		eventDropped.Log(x.router.logger, "lines", dropped)
	}
	if !allowed {
		return
	}
	fields := []any{"request", x.request.ID, "outcome", outcome, "status", status, "took", milliseconds(x.elapsed())}
	if reason != "" {
		fields = append(fields, "reason", reason)
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "kind", x.route.Kind, "config", x.view.Config.Version)
	}
	if x.service != nil {
		fields = append(fields, "service", x.service.name)
	}
	if x.forwarded != nil {
		fields = append(fields, "forwardedBy", x.forwarded.Node)
	}
	if x.keyed {
		fields = append(fields, "key", int(x.key), "table", x.view.Routes.Offset)
	}
	eventRequest.Log(x.router.logger, append(fields, "steps", strings.Join(x.trace.steps, "; "))...)
}
