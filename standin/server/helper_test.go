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

// bench is a server without sockets, on a clock that the test sets.
type bench struct {
	*Server
	t        *testing.T
	clock    atomic.Int64
	recorded history.Memory
	gen      uint64
	requests int
	// pauseAfter lets pause pass right after so many readings of the clock.
	pauseAfter int
	pause      time.Duration
}

// read returns the time, and imitates a pause of the VM after one reading.
func (b *bench) read() history.Time {
	now := b.clock.Load()
	if b.pause > 0 {
		if b.pauseAfter == 0 {
			b.advance(b.pause)
			b.pause = 0
		}
		b.pauseAfter--
	}
	return history.Time(now)
}

func newBench(t *testing.T, config Config) *bench {
	b := &bench{t: t}
	boots := 0
	config.ID, config.Service, config.Keyed, config.ChecksFencing = "s1", "licensing", true, true
	config.Clock = b.read
	config.Recorder = &b.recorded
	config.NewBoot = func() topo.BootID {
		boots++
		return topo.BootID("boot" + strconv.Itoa(boots))
	}
	b.Server = New(config)
	return b
}

func (b *bench) advance(d time.Duration) { b.clock.Add(int64(d)) }

// call sends any request to the handler.
func (b *bench) call(method, path string, header map[string]string, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(b.t.Context(), method, path, bytes.NewReader(body))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	b.ServeHTTP(recorder, request)
	return recorder
}

func (b *bench) lease(req serverapi.LeaseRequest) serverapi.LeaseReply {
	b.t.Helper()
	body, err := json.Marshal(req)
	gomega.NewWithT(b.t).Expect(err).NotTo(gomega.HaveOccurred())
	var reply serverapi.LeaseReply
	answer := b.call(http.MethodPost, serverapi.PathLease, nil, body)
	gomega.NewWithT(b.t).Expect(json.Unmarshal(answer.Body.Bytes(), &reply)).To(gomega.Succeed())
	return reply
}

// grant renews the lease from now on with a new list of grants.
func (b *bench) grant(grants ...serverapi.Grant) serverapi.LeaseReply {
	b.t.Helper()
	b.gen++
	req := serverapi.LeaseRequest{Term: "3.0", Lessor: "n@b"}
	stamp := b.lease(req)
	req.Boot, req.Echo, req.TTLMs = stamp.Boot, stamp.Stamp, leaseTTL.Milliseconds()
	req.Generation, req.Full, req.Grants = b.gen, true, grants
	return b.lease(req)
}

func granted(fence topo.Fence) serverapi.Grant {
	return serverapi.Grant{Shard: shard.String(), Fence: fence.String()}
}

// serveOptions change a request of a caller.
type serveOptions struct {
	method string
	fence  topo.Fence
	ticket string
	query  string
	header map[string]string
}

// send sends a caller's request and returns its answer's head and body.
func (b *bench) send(o serveOptions) *httptest.ResponseRecorder {
	b.requests++
	return b.call(o.fill(), recordsPrefix+"bore%207/transfers"+o.query, o.headers(b.requests), []byte("to=clerk"))
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

// outcome is what an answer says in its status and protocol headers.
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
