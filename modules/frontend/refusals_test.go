package frontend_test

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/callerapi"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// refusal is one row of the table in docs/CALLERS.md.
type refusal struct {
	status  int
	outcome serverapi.Outcome
	reason  serverapi.Reason
}

// trigger makes a node refuse a request for one reason.
type trigger func(t *testing.T) reply

// plain sends a request to a default harness.
func plain(method, path string, headers ...string) trigger {
	return func(t *testing.T) reply {
		h, _ := newHarness(t, harnessOptions{})
		return h.send(method, path, nil, headers...)
	}
}

// served sends a request to a harness whose servers all have the same behaviour.
func served(behave rt.Behaviour, path string, headers ...string) trigger {
	return func(t *testing.T) reply {
		h, _ := newHarness(t, harnessOptions{})
		h.setBehaviour(behave)
		return h.send("POST", path, nil, headers...)
	}
}

// forwarded sends a request with a long body to a node that forwards it to the
// lessor, which responds that the request did not run.
func forwarded(reason serverapi.Reason) trigger {
	return func(t *testing.T) reply {
		h, other := newHarness(t, harnessOptions{lessor: "lessor"})
		other.SetFault(func(w http.ResponseWriter, r *http.Request) {
			id := regexp.MustCompile(`"id":"([^"]*)"`).FindStringSubmatch(r.Header.Get("Burdockspindle-Forward"))[1]
			w.Header().Set("Burdockspindle-Forward",
				`{"format":1,"id":"`+id+`","status":503,"outcome":"not-run","reason":"`+string(reason)+`"}`)
			_, _ = r.Body.Read(make([]byte, 150<<10))
			w.WriteHeader(http.StatusOK)
		})
		return h.send("POST", keyPath, longBody())
	}
}

// shareExhausted is an error caused by a limit of the node itself.
type shareExhausted struct{}

func (shareExhausted) Error() string { return "share used up" }
func (shareExhausted) LocalLimit()   {}

var _ backend.LocalError = shareExhausted{}

// cases returns a trigger for every row of the table.
func cases() map[refusal]trigger {
	notRun := func(status int, reason serverapi.Reason) refusal {
		return refusal{status, serverapi.OutcomeNotRun, reason}
	}
	unknown := func(status int, reason serverapi.Reason) refusal {
		return refusal{status, serverapi.OutcomeUnknown, reason}
	}
	soon := []string{callerapi.HeaderDeadlineMs, "300"}
	return map[refusal]trigger{
		notRun(400, callerapi.ReasonMissingKey):       plain("GET", callerapi.UnkeyedPath(logs, "x")),
		notRun(400, callerapi.ReasonUnexpectedKey):    plain("GET", callerapi.KeyedPath(payments, "k", "x")),
		notRun(400, callerapi.ReasonBadKey):           plain("GET", callerapi.KeyedPath(logs, strings.Repeat("k", 1025), "x")),
		notRun(400, callerapi.ReasonBadPath):          plain("GET", callerapi.KeyedPath(logs, "k", "%2e%2e/ownership/lease")),
		notRun(400, callerapi.ReasonBadDeadline):      plain("GET", keyPath, callerapi.HeaderDeadlineMs, "soon"),
		notRun(400, callerapi.ReasonBadHop):           plain("GET", keyPath, callerapi.HeaderHop, "-1"),
		notRun(400, callerapi.ReasonTooManyHops):      plain("GET", keyPath, callerapi.HeaderHop, "9"),
		notRun(400, callerapi.ReasonBadCaller):        plain("GET", keyPath, callerapi.HeaderCaller, strings.Repeat("c", 129)),
		notRun(400, serverapi.ReasonBadRequest):       served(rt.Decline("not-run", serverapi.ReasonBadRequest), keyPath),
		notRun(400, callerapi.ReasonBadTicket):        plain("POST", keyPath, callerapi.HeaderIdempotencyKey, "my-own"),
		notRun(400, callerapi.ReasonBodyUnreadable):   badlyChunked,
		notRun(404, callerapi.ReasonNoSuchPath):       plain("GET", "/v1/services/well-logs/keys/k/other"),
		notRun(404, callerapi.ReasonUnknownService):   plain("GET", callerapi.KeyedPath("nothing", "k", "x")),
		notRun(405, callerapi.ReasonMethodNotAllowed): plain("GET", callerapi.TicketPath(logs, "k")),
		notRun(413, callerapi.ReasonBodyTooLarge):     declaredTooLarge,
		notRun(428, callerapi.ReasonTicketRequired):   ticketRequired,
		notRun(429, callerapi.ReasonQueueFull):        queueFull,
		notRun(429, callerapi.ReasonBusy):             busy,
		notRun(503, callerapi.ReasonNoOwner):          served(rt.Unreachable, keyPath, soon...),
		notRun(503, callerapi.ReasonNoServer):         noServer,
		notRun(503, callerapi.ReasonBufferFull):       bufferFull,
		notRun(503, serverapi.ReasonOverloaded):       served(rt.Decline("not-run", serverapi.ReasonOverloaded), keyPath),
		notRun(503, serverapi.ReasonDraining):         draining,
		notRun(503, callerapi.ReasonDependency):       dependencyOverloaded,
		notRun(503, callerapi.ReasonNotSent):          served(rt.Unreachable, orderPath),
		notRun(503, callerapi.ReasonNoConnection):     served(noConnection, keyPath),
		notRun(503, serverapi.ReasonNotOwner):         movedUnderLongBody,
		notRun(503, callerapi.ReasonNotLessor):        forwarded(callerapi.ReasonNotLessor),
		notRun(503, callerapi.ReasonLoop):             forwarded(callerapi.ReasonLoop),
		notRun(504, callerapi.ReasonTooLate):          tooLate,
		notRun(504, serverapi.ReasonDeadline):         served(rt.Decline("not-run", serverapi.ReasonDeadline), keyPath),
		unknown(409, serverapi.ReasonStaleTicket):     served(rt.Decline("unknown", serverapi.ReasonStaleTicket), keyPath),
		unknown(409, serverapi.ReasonDuplicate):       served(rt.Decline("unknown", serverapi.ReasonDuplicate), keyPath),
		unknown(409, serverapi.ReasonAnswerGone):      served(rt.Decline("unknown", serverapi.ReasonAnswerGone), keyPath),
		unknown(409, serverapi.ReasonOwnershipLost):   served(rt.Decline("unknown", serverapi.ReasonOwnershipLost), keyPath),
		unknown(502, callerapi.ReasonNoAnswer):        served(rt.Lost, keyPath),
		unknown(502, callerapi.ReasonBrokenAnswer):    served(rt.Broken(100, "half"), keyPath),
		unknown(502, callerapi.ReasonForeignAnswer):   served(rt.Foreign, keyPath),
		unknown(502, callerapi.ReasonBodyTooLarge):    undeclaredTooLarge,
		unknown(502, callerapi.ReasonBodyUnreadable):  brokenOffBody,
		unknown(504, callerapi.ReasonUnresponsive):    served(rt.Unresponsive, keyPath),
		unknown(504, serverapi.ReasonDeadline):        served(rt.Hanging, keyPath, soon...),
	}
}

func badlyChunked(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{})
	return h.raw("POST " + keyPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
}

func declaredTooLarge(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{logs: func(s *siteconfig.Service) { s.MaxBodyBytes = 1000 }})
	got := h.send("POST", keyPath, strings.NewReader(strings.Repeat("x", 1001)))
	h.Expect(h.driver.Attempts()).To(gomega.BeEmpty())
	return got
}

func undeclaredTooLarge(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{logs: func(s *siteconfig.Service) { s.MaxBodyBytes = 100 << 10 }})
	return h.send("POST", keyPath, withoutLength(longBody()))
}

func brokenOffBody(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{})
	head := "POST " + keyPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	return h.raw(head + "30D40\r\n" + strings.Repeat("x", 200_000) + "\r\nzz\r\n")
}

func ticketRequired(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{payments: func(s *siteconfig.Service) { s.RequireIdempotencyKey = true }})
	return h.send("POST", orderPath, nil)
}

// refusedUnderLoad sends requests that hang until one is refused, and checks that
// the reason is want.
func (h *harness) refusedUnderLoad(want serverapi.Reason) reply {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	replies := make(chan reply, 100)
	for range 20 {
		go func() {
			request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+h.address+keyPath, nil)
			response, err := h.client.Do(request)
			if err != nil {
				return
			}
			_ = response.Body.Close()
			replies <- reply{status: response.StatusCode, header: response.Header}
		}()
	}
	var got reply
	h.Eventually(replies, waitTimeout).Should(gomega.Receive(&got))
	h.Expect(got.header.Get(callerapi.HeaderReason)).To(gomega.Equal(string(want)))
	return h.withFailure(got)
}

// withFailure sets the fields that the JSON body would have had.
func (h *harness) withFailure(got reply) reply {
	got.failure.Outcome = serverapi.Outcome(got.header.Get(callerapi.HeaderOutcome))
	got.failure.Reason = serverapi.Reason(got.header.Get(callerapi.HeaderReason))
	got.failure.RequestID = got.header.Get(callerapi.HeaderRequestID)
	got.failure.RetryAfterMs = 1
	return got
}

func queueFull(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{limits: func(l *settings.Limits) { l.MaxQueued = 1 }})
	h.setBehaviour(rt.Hanging)
	return h.refusedUnderLoad(callerapi.ReasonQueueFull)
}

func busy(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{limits: func(l *settings.Limits) { l.MaxInFlight = 1 }})
	h.setBehaviour(rt.Hanging)
	return h.refusedUnderLoad(callerapi.ReasonBusy)
}

func bufferFull(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{limits: func(l *settings.Limits) { l.MaxBuffered = 1 }})
	h.setBehaviour(rt.Decline("not-run", serverapi.ReasonNotOwner))
	return h.refusedUnderLoad(callerapi.ReasonBufferFull)
}

func noServer(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{})
	h.site.ConfirmLost("p1")
	h.site.ConfirmLost("p2")
	return h.send("POST", orderPath, nil, callerapi.HeaderDeadlineMs, "300")
}

func draining(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{})
	h.Expect(h.frontend.Drain(context.Background())).To(gomega.Succeed())
	return h.send("POST", keyPath, nil)
}

func dependencyOverloaded(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{logs: func(s *siteconfig.Service) { s.DependsOn = []topo.Service{payments} }})
	overloaded := rt.Decline("not-run", serverapi.ReasonOverloaded)
	h.driver.Set("p1", overloaded)
	h.driver.Set("p2", overloaded)
	// Each request to the dependant makes a call to the dependency, as the
	// dependant's server would, and each call is refused.
	served := func() reply {
		got := h.send("POST", keyPath, nil)
		h.send("POST", orderPath, nil, callerapi.HeaderHop, "1")
		return got
	}
	for range 100 {
		served()
	}
	var got reply
	h.Eventually(func() serverapi.Reason {
		got = served()
		return got.failure.Reason
	}, waitTimeout).Should(gomega.Equal(callerapi.ReasonDependency))
	return got
}

func noConnection(context.Context, backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Cause: shareExhausted{}}
}

func movedUnderLongBody(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{})
	h.setBehaviour(rt.Decline("not-run", serverapi.ReasonNotOwner))
	return h.send("POST", keyPath, longBody())
}

func tooLate(t *testing.T) reply {
	h, _ := newHarness(t, harnessOptions{})
	h.driver.Set("s1", rt.Delayed(200*time.Millisecond, rt.Answer(200, "ok")))
	for range 6 {
		h.send("GET", keyPath, nil)
	}
	return h.send("GET", keyPath, nil, callerapi.HeaderDeadlineMs, "20")
}

// documented reads the table of refusals in docs/CALLERS.md.
func documented(g *gomega.WithT) []refusal {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	row := regexp.MustCompile("(?m)^\\| (\\d+) \\| (not-run|unknown) \\| `([a-z-]+)` \\|")
	var rows []refusal
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		status, _ := strconv.Atoi(match[1])
		rows = append(rows, refusal{status, serverapi.Outcome(match[2]), serverapi.Reason(match[3])})
	}
	return rows
}

// TestEveryDocumentedRefusal triggers each row of docs/CALLERS.md over HTTP.
func TestEveryDocumentedRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	rows, byRow := documented(g), cases()
	g.Expect(rows).To(gomega.HaveLen(len(byRow)), "each row has a case and each case a row")
	for _, row := range rows {
		name := strconv.Itoa(row.status) + " " + string(row.outcome) + " " + string(row.reason)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run, exists := byRow[row]
			gomega.NewWithT(t).Expect(exists).To(gomega.BeTrue(), "no case for the row")
			synctest.Test(t, func(t *testing.T) { checkRefusal(t, row, run(t)) })
		})
	}
}

func checkRefusal(t *testing.T, row refusal, got reply) {
	g := gomega.NewWithT(t)
	g.Expect(got.cut).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(row.status), got.body)
	g.Expect(got.header.Get(callerapi.HeaderOutcome)).To(gomega.Equal(string(row.outcome)))
	g.Expect(got.header.Get(callerapi.HeaderReason)).To(gomega.Equal(string(row.reason)))
	g.Expect(got.failure.Outcome).To(gomega.Equal(row.outcome))
	g.Expect(got.failure.Reason).To(gomega.Equal(row.reason))
	g.Expect(got.failure.RequestID).To(gomega.Equal(got.header.Get(callerapi.HeaderRequestID)))
	retries := row.status == 429 || row.status >= 500
	g.Expect(got.header.Get(callerapi.HeaderRetryAfter) != "").To(gomega.Equal(retries))
	g.Expect(got.failure.RetryAfterMs > 0).To(gomega.Equal(retries))
}
