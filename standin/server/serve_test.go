package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

func TestServesOnlyWhatItOwns(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(notOwner), "before any grant")
	s.grant(granted(fence))
	for want := range 3 {
		answer := s.send(serveOptions{})
		g.Expect(outcomeOf(answer)).To(gomega.Equal(answered))
		g.Expect(valueOf(t, answer)).To(gomega.Equal(uint64(want + 1)))
	}
	g.Expect(outcomeOf(s.send(serveOptions{fence: topo.MakeFence(8, 0)}))).To(gomega.Equal(notOwner))
	s.advance(leaseTTL)
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(notOwner), "lapsed")
	higher := topo.MakeFence(20, 0)
	s.grant(granted(higher))
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(notOwner), "replaced")
	fresh := s.send(serveOptions{fence: higher})
	g.Expect(valueOf(t, fresh)).To(gomega.Equal(uint64(1)), "state of another ownership is not used")
	g.Expect(s.Stats().Committed).To(gomega.Equal(uint64(4)))
}

func TestRefusesMalformedRequests(t *testing.T) {
	cases := map[string]map[string]string{
		"no request ID":     {serverapi.HeaderRequestID: ""},
		"no shard":          {serverapi.HeaderShard: ""},
		"broken shard":      {serverapi.HeaderShard: "%zz"},
		"no fence":          {serverapi.HeaderFence: ""},
		"other service":     {serverapi.HeaderService: "quotes"},
		"other key":         {serverapi.HeaderKey: "bore"},
		"broken key":        {serverapi.HeaderKey: "%z"},
		"broken deadline":   {serverapi.HeaderDeadlineMs: "soon"},
		"negative deadline": {serverapi.HeaderDeadlineMs: "-1"},
	}
	for name, header := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, Config{})
			s.grant(granted(fence))
			g := gomega.NewWithT(t)
			g.Expect(outcomeOf(s.send(serveOptions{header: header}))).To(gomega.Equal(badHeaders))
			g.Expect(s.Stats().Ran).To(gomega.BeZero())
		})
	}
	s := newTestServer(t, Config{})
	passed := s.send(serveOptions{header: map[string]string{serverapi.HeaderDeadlineMs: "0"}})
	gomega.NewWithT(t).Expect(passed.Code).To(gomega.Equal(http.StatusGatewayTimeout))
}

func TestTicketsRunOnceAndAreAnsweredAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := ticket.DefaultLimits()
	limits.AnswerSize = 1000
	s := newTestServer(t, Config{Tickets: limits})
	s.grant(granted(fence))
	first := s.send(serveOptions{ticket: newTicket(1, fence)})
	again := s.send(serveOptions{ticket: `"` + newTicket(1, fence) + `"`})
	g.Expect(outcomeOf(again)).To(gomega.Equal(answered))
	g.Expect(again.Body.String()).To(gomega.Equal(first.Body.String()))
	g.Expect(again.Header().Get(serverapi.HeaderReplayed)).To(gomega.Equal("true"))
	g.Expect(again.Header().Get(serverapi.HeaderRequestID)).To(gomega.Equal("r2"), "the attempt's own ID")

	g.Expect(outcomeOf(s.send(serveOptions{ticket: newTicket(2, topo.MakeFence(8, 0))}))).To(gomega.Equal(stale))
	g.Expect(outcomeOf(s.send(serveOptions{ticket: "a-uuid"}))).To(gomega.Equal(badKey))
	g.Expect(outcomeOf(s.send(serveOptions{ticket: newTicket(1, fence), method: http.MethodPut}))).To(gomega.Equal(badKey))
	long := serveOptions{ticket: newTicket(3, fence), query: "?size=2000"}
	g.Expect(outcomeOf(s.send(long))).To(gomega.Equal(answered))
	g.Expect(outcomeOf(s.send(long))).To(gomega.Equal(gone))
	g.Expect(s.Stats().Ran).To(gomega.Equal(uint64(2)))
}

func TestLostAnswerIsReplayedToTheNextAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	s.SetFaults(Faults{LoseNext: 1})
	g.Expect(func() { s.send(serveOptions{ticket: newTicket(1, fence)}) }).To(gomega.PanicWith(http.ErrAbortHandler))
	again := s.send(serveOptions{ticket: newTicket(1, fence)})
	g.Expect(valueOf(t, again)).To(gomega.Equal(uint64(1)))
	g.Expect(s.Stats().LostReply).To(gomega.Equal(uint64(1)))
	g.Expect(s.Stats().Ran).To(gomega.Equal(uint64(1)))
}

func TestDeadlineEndsARun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{ServiceTime: ServiceTime{Mean: time.Hour}})
	s.grant(granted(fence))
	soon := map[string]string{serverapi.HeaderDeadlineMs: "20"}
	late := s.send(serveOptions{header: soon})
	g.Expect(outcomeOf(late)).To(gomega.Equal(outcome{http.StatusGatewayTimeout, serverapi.OutcomeUnknown, serverapi.ReasonDeadline}))
	g.Expect(history.Select[history.RunEnded](s.recorded.Events())[0].Committed).To(gomega.BeFalse())
}

func TestConcurrencyLimitIsKeptAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{Concurrency: 2, ServiceTime: ServiceTime{Mean: time.Hour}})
	s.grant(granted(fence))
	done := make(chan outcome, 2)
	for i := range 2 {
		o := serveOptions{method: http.MethodGet}
		o.fill()
		header := o.headers(100 + i)
		go func() { done <- outcomeOf(s.call(http.MethodGet, recordsPrefix+"bore%207", header, nil)) }()
	}
	g.Eventually(func() uint64 { return s.Stats().Ran }, "30s").Should(gomega.Equal(uint64(2)))
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(overloaded))
	s.current().terminate() // ends the two
	g.Expect(<-done).To(gomega.Equal(lost))
	g.Expect(<-done).To(gomega.Equal(lost))
	stats := s.Stats()
	g.Expect(stats.PeakInFlight).To(gomega.Equal(2))
	g.Expect(stats.OverLimit).To(gomega.Equal(uint64(1)))
	g.Expect(stats.InFlight).To(gomega.BeZero())
}

// pausedRun freezes the server, sends a request, advances the clock, and returns the
// answer that the server gives after it is unfrozen.
func pausedRun(s *testServer, paused time.Duration, meanwhile func()) *httptest.ResponseRecorder {
	s.Freeze()
	answer := make(chan *httptest.ResponseRecorder)
	o := serveOptions{}
	o.fill()
	header := o.headers(500)
	go func() { answer <- s.call(http.MethodPost, recordsPrefix+"bore%207", header, nil) }()
	s.advance(paused)
	if meanwhile != nil {
		meanwhile()
	}
	s.Unfreeze()
	return <-answer
}

func TestServerFrozenPastItsLeaseRefusesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	g.Expect(outcomeOf(pausedRun(s, 0, nil))).To(gomega.Equal(answered))
	g.Expect(outcomeOf(pausedRun(s, leaseTTL, nil))).To(gomega.Equal(notOwner))
}

// TestPausedBetweenCheckAndUse pauses the server after it found its lease valid: the
// request still runs, and its answer must not be sent.
func TestPausedBetweenCheckAndUse(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	inc := s.current()
	claim, _, err := inc.begin(serveRequest{shard: shard, fence: fence, key: "bore 7"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer inc.end(claim)
	o := serveOptions{}
	o.fill()
	request := httptest.NewRequest(http.MethodPost, recordsPrefix+"bore%207/transfers", strings.NewReader("x"))
	for name, value := range o.headers(1) {
		request.Header.Set(name, value)
	}
	req, refused := s.parseRequest(request)
	g.Expect(refused).To(gomega.BeNil())
	req.ticketText = newTicket(1, fence)
	s.advance(leaseTTL)
	answer := httptest.NewRecorder()
	s.serveTicket(&job{ctx: t.Context(), inc: inc, w: answer, req: req, claim: claim})
	g.Expect(outcomeOf(answer)).To(gomega.Equal(lost))
	ended := history.Select[history.RunEnded](s.recorded.Events())
	g.Expect(ended).To(gomega.HaveLen(1))
	g.Expect(ended[0].Committed).To(gomega.BeFalse())

	s.grant(granted(fence))
	again := s.send(serveOptions{ticket: newTicket(1, fence)})
	g.Expect(outcomeOf(again)).To(gomega.Equal(gone), "it may have run")
}

func TestRestartDiscardsState(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	s.send(serveOptions{ticket: newTicket(1, fence)})
	s.Restart()
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(notOwner))
	reply := s.lease(serverapi.LeaseRequest{Term: "3.0", Lessor: "n@b", Boot: "boot1", TTLMs: 1000, Generation: 9, Full: true})
	g.Expect(reply.Refused).To(gomega.Equal(serverapi.RefusedBoot))
	g.Expect(string(reply.Boot)).To(gomega.Equal("boot2"))
	g.Expect(reply.Active).To(gomega.BeEmpty())
	stopped := history.Select[history.ServerStopped](s.recorded.Events())
	g.Expect(stopped).To(gomega.HaveLen(1))
	g.Expect(string(stopped[0].Boot)).To(gomega.Equal("boot1"))
}

func TestFaultsCanBeInjected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{Concurrency: 4})
	s.grant(granted(fence))
	s.SetFaults(Faults{ShedRatio: 1})
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(overloaded))
	s.SetFaults(Faults{IgnoreFences: true})
	g.Expect(outcomeOf(s.send(serveOptions{fence: topo.MakeFence(8, 0)}))).To(gomega.Equal(answered))
	s.SetFaults(Faults{IgnoreTickets: true})
	for range 2 {
		g.Expect(outcomeOf(s.send(serveOptions{ticket: newTicket(1, fence)}))).To(gomega.Equal(answered))
	}
	s.SetFaults(Faults{WrongRequestID: true})
	g.Expect(s.send(serveOptions{}).Header().Get(serverapi.HeaderRequestID)).To(gomega.HaveSuffix("-another"))
	lie := serverapi.Load{InFlight: 77, Utilization: 0.1}
	s.SetFaults(Faults{Load: &lie})
	g.Expect(s.grant(granted(fence)).Load).To(gomega.Equal(lie))
	s.Drain(true)
	g.Expect(s.grant(granted(fence)).Draining).To(gomega.BeTrue())
	g.Expect(outcomeOf(s.send(serveOptions{}))).To(gomega.Equal(answered), "a draining owner serves until it is revoked")
}

func TestUnkeyedServerRefusesNewWorkWhileItDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Config{ID: "s2"})
	send := func() outcome {
		request := httptest.NewRequest(http.MethodGet, recordsPrefix+"k", nil)
		request.Header.Set(serverapi.HeaderRequestID, "r")
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, request)
		return outcomeOf(recorder)
	}
	g.Expect(send()).To(gomega.Equal(answered))
	s.Drain(true)
	g.Expect(send()).To(gomega.Equal(outcome{http.StatusServiceUnavailable, serverapi.OutcomeNotRun, serverapi.ReasonDraining}))
}

func TestColdStartFallsToOne(t *testing.T) {
	g := gomega.NewWithT(t)
	cold := ColdStart{Factor: 5, Duration: 10 * time.Second}
	box := newFaultState(1)
	for age, want := range map[time.Duration]time.Duration{0: 50, 5 * time.Second: 30, 10 * time.Second: 10, time.Hour: 10} {
		took := box.serviceTime(ServiceTime{Mean: 10 * time.Millisecond}, cold, age)
		g.Expect(took).To(gomega.BeNumerically("~", want*time.Millisecond, time.Microsecond))
	}
	var sum time.Duration
	const draws = 20_000
	for range draws {
		sum += box.serviceTime(ServiceTime{Mean: 10 * time.Millisecond, Shape: 0.5}, ColdStart{}, 0)
	}
	g.Expect(sum / draws).To(gomega.BeNumerically("~", 10*time.Millisecond, time.Millisecond))
}

func TestReadAnswerRejectsCorruptAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	whole := s.send(serveOptions{query: "?size=9000"}).Body.String()
	_, err := ReadAnswer(strings.NewReader(whole))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	other := s.send(serveOptions{query: "?size=9000"}).Body.String()
	for name, text := range map[string]string{
		"cut": whole[:len(whole)-1], "long": whole + "x", "empty": "", "no line": "{}",
		"spliced": whole[:5000] + other[5000:],
	} {
		_, err := ReadAnswer(strings.NewReader(text))
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&AnswerError{}), name)
	}
}

// An address passes from one server to another. A lessor that still called the previous
// server there raised the new server's term, so that the new server refused its own lessor
// permanently.
func TestCallsForAnotherServerChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	other := map[string]string{serverapi.HeaderServer: "licensing-99"}
	for path, body := range map[string]string{
		serverapi.PathLease:       `{"term": "90.0", "lessor": "other@b", "boot": ""}`,
		serverapi.PathAcknowledge: `{"term": "90.0"}`,
	} {
		answer := s.call(http.MethodPost, path, other, []byte(body))
		g.Expect(answer.Code).To(gomega.Equal(http.StatusConflict))
		var reply serverapi.LeaseReply
		g.Expect(json.Unmarshal(answer.Body.Bytes(), &reply)).To(gomega.Succeed())
		g.Expect(reply.Refused).To(gomega.Equal(serverapi.RefusedServer))
	}
	g.Expect(outcomeOf(s.send(serveOptions{header: other}))).To(gomega.Equal(notOwner))
	g.Expect(s.grant(granted(fence)).Refused).To(gomega.BeEmpty(), "its own lessor's term is still the highest")
	g.Expect(outcomeOf(s.send(serveOptions{header: map[string]string{serverapi.HeaderServer: "s1"}}))).To(gomega.Equal(answered))
}
