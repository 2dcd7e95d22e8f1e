package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

const leaseTTL = time.Second

var (
	shard = topo.ShardID{Service: "licensing", Index: 1}
	fence = topo.MakeFence(9, 0)
)

// testServer is a server without sockets whose clock the test sets.
type testServer struct {
	*Server
	t        *testing.T
	clock    atomic.Int64
	recorded history.Memory
	gen      uint64
	requests int
	// pauseAfter is the number of clock readings after which the clock jumps by pause.
	pauseAfter int
	pause      time.Duration
}

// readClock returns the time, and imitates a pause of the VM after one reading.
func (s *testServer) readClock() history.Time {
	now := s.clock.Load()
	if s.pause > 0 {
		if s.pauseAfter == 0 {
			s.advance(s.pause)
			s.pause = 0
		}
		s.pauseAfter--
	}
	return history.Time(now)
}

func newTestServer(t *testing.T, config Config) *testServer {
	s := &testServer{t: t}
	boots := 0
	config.ID, config.Service, config.Keyed, config.ChecksFencing = "s1", "licensing", true, true
	config.Clock = s.readClock
	config.Recorder = &s.recorded
	config.NewBoot = func() topo.BootID {
		boots++
		return topo.BootID("boot" + strconv.Itoa(boots))
	}
	s.Server = New(config)
	return s
}

func (s *testServer) advance(d time.Duration) { s.clock.Add(int64(d)) }

// call sends any request to the handler.
func (s *testServer) call(method, path string, header map[string]string, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(s.t.Context(), method, path, bytes.NewReader(body))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	return recorder
}

func (s *testServer) lease(req serverapi.LeaseRequest) serverapi.LeaseReply {
	s.t.Helper()
	body, err := json.Marshal(req)
	gomega.NewWithT(s.t).Expect(err).NotTo(gomega.HaveOccurred())
	var reply serverapi.LeaseReply
	answer := s.call(http.MethodPost, serverapi.PathLease, nil, body)
	gomega.NewWithT(s.t).Expect(json.Unmarshal(answer.Body.Bytes(), &reply)).To(gomega.Succeed())
	return reply
}

// grant renews the lease as of now with a new list of grants.
func (s *testServer) grant(grants ...serverapi.Grant) serverapi.LeaseReply {
	s.t.Helper()
	s.gen++
	req := serverapi.LeaseRequest{Term: "3.0", Lessor: "n@b"}
	stamp := s.lease(req)
	req.Boot, req.Echo, req.TTLMs = stamp.Boot, stamp.Stamp, leaseTTL.Milliseconds()
	req.Generation, req.Full, req.Grants = s.gen, true, grants
	return s.lease(req)
}

func granted(fence topo.Fence) serverapi.Grant {
	return serverapi.Grant{Shard: shard.String(), Fence: fence.String()}
}

// serveOptions modifies a caller's request.
type serveOptions struct {
	method string
	fence  topo.Fence
	ticket string
	query  string
	header map[string]string
}

// send sends a caller's request and returns the recorded answer.
func (s *testServer) send(o serveOptions) *httptest.ResponseRecorder {
	s.requests++
	return s.call(o.fill(), recordsPrefix+"bore%207/transfers"+o.query, o.headers(s.requests), []byte("to=clerk"))
}

func (o *serveOptions) fill() string {
	if o.method == "" {
		o.method = http.MethodPost
	}
	if o.fence.IsZero() {
		o.fence = fence
	}
	return o.method
}

func (o *serveOptions) headers(number int) map[string]string {
	header := map[string]string{
		serverapi.HeaderRequestID:   "r" + strconv.Itoa(number),
		history.HeaderCallerRequest: "c" + strconv.Itoa(number),
		serverapi.HeaderService:     "licensing",
		serverapi.HeaderKey:         serverapi.EncodeValue("bore 7"),
		serverapi.HeaderShard:       serverapi.EncodeValue(shard.String()),
		serverapi.HeaderFence:       o.fence.String(),
	}
	if o.ticket != "" {
		header[serverapi.HeaderIdempotencyKey] = o.ticket
	}
	for name, value := range o.header {
		header[name] = value
	}
	return header
}

func newTicket(sequence uint64, scope topo.Fence) string {
	return ticket.Ticket{
		Scope:    ticket.FenceScope(scope),
		Issuer:   ticket.Issuer{Node: "n", Boot: "b"},
		Sequence: sequence,
		Subject:  ticket.SubjectOf("licensing", "bore 7"),
	}.String()
}

// outcome is the status and the protocol headers of an answer.
type outcome struct {
	status  int
	outcome serverapi.Outcome
	reason  serverapi.Reason
}

func outcomeOf(answer *httptest.ResponseRecorder) outcome {
	return outcome{
		status:  answer.Code,
		outcome: serverapi.Outcome(answer.Header().Get(serverapi.HeaderOutcome)),
		reason:  serverapi.Reason(answer.Header().Get(serverapi.HeaderReason)),
	}
}

var (
	answered   = outcome{http.StatusOK, serverapi.OutcomeAnswered, ""}
	notOwner   = outcome{http.StatusMisdirectedRequest, serverapi.OutcomeNotRun, serverapi.ReasonNotOwner}
	overloaded = outcome{http.StatusServiceUnavailable, serverapi.OutcomeNotRun, serverapi.ReasonOverloaded}
	lost       = outcome{http.StatusConflict, serverapi.OutcomeUnknown, serverapi.ReasonOwnershipLost}
	stale      = outcome{http.StatusConflict, serverapi.OutcomeUnknown, serverapi.ReasonStaleTicket}
	gone       = outcome{http.StatusConflict, serverapi.OutcomeUnknown, serverapi.ReasonAnswerGone}
	badKey     = outcome{http.StatusUnprocessableEntity, serverapi.OutcomeNotRun, serverapi.ReasonBadTicket}
	badHeaders = outcome{http.StatusBadRequest, serverapi.OutcomeNotRun, serverapi.ReasonBadRequest}
)

func valueOf(t *testing.T, answer *httptest.ResponseRecorder) uint64 {
	t.Helper()
	read, err := ReadAnswer(strings.NewReader(answer.Body.String()))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return read.Value
}
