package platformlog

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog/logwire"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Paths of fault injection.
const (
	PathFaults   = "/admin/faults"   // GET shows, POST replaces Faults
	PathTruncate = "/admin/truncate" // POST drops old records, see Truncation
)

// maxAdminBytes bounds the body of an administration request.
const maxAdminBytes = 64 << 10

// Outage is how the service fails while it is down.
type Outage string

// Outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // answers 503 and says that nothing was appended
	OutageCut    Outage = "cut"    // closes the connection without an answer
	OutageSilent Outage = "silent" // never answers
)

// Faults says what goes wrong. The zero value is a healthy service.
type Faults struct {
	Reads        Outage `json:"reads"`
	Appends      Outage `json:"appends"`
	SlowMs       int    `json:"slow_ms"`       // added to every call
	LoseAnswers  int    `json:"lose_answers"`  // appends that take effect without an answer
	LoseRequests int    `json:"lose_requests"` // appends that are lost without an answer
	Repeat       int    `json:"repeat"`        // earlier records given again by each read
}

// Truncation drops a stream's records below an offset.
type Truncation struct {
	Stream string      `json:"stream"`
	First  topo.Offset `json:"first"`
}

// faults is the current Faults. It is safe for concurrent use.
type faults struct {
	mu  sync.Mutex
	now Faults
}

func newFaults() *faults { return &faults{} }

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faults) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = next
}

func (f *faults) readDown() Outage   { return f.get().Reads }
func (f *faults) appendDown() Outage { return f.get().Appends }

// pass delays a call, or ends it while the service is down; then it returns
// false.
func (f *faults) pass(w http.ResponseWriter, r *http.Request, outage func() Outage) bool {
	if slow := time.Duration(f.get().SlowMs) * time.Millisecond; slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return false
		}
	}
	switch outage() {
	case OutageRefuse:
		refuse(w, http.StatusServiceUnavailable, logwire.CodeUnavailable, "injected outage")
		return false
	case OutageCut:
		cut(w)
	case OutageSilent:
		<-r.Context().Done()
		cut(w)
	}
	return true
}

func (f *faults) takeLostAnswer() bool  { return f.take(&f.now.LoseAnswers) }
func (f *faults) takeLostRequest() bool { return f.take(&f.now.LoseRequests) }

func (f *faults) take(left *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// repeatFrom returns where a read begins so that it gives records again.
func (f *faults) repeatFrom(stream *memlog.Store, from topo.Offset) topo.Offset {
	again := topo.Offset(max(f.get().Repeat, 0))
	first, _ := stream.Bounds()
	if again == 0 || from <= first {
		return from
	}
	if from <= first+again {
		return first
	}
	return from - again
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(next Faults) { s.faults.set(next) }

func (s *Service) showFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.faults.get())
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var next Faults
	if !decodeAdmin(w, r, &next) {
		return
	}
	if !next.Reads.valid() || !next.Appends.valid() {
		refuse(w, http.StatusBadRequest, logwire.CodeInvalid, "unknown outage")
		return
	}
	s.SetFaults(next)
	answer(w, http.StatusOK, s.faults.get())
}

func (o Outage) valid() bool {
	return o == OutageNone || o == OutageRefuse || o == OutageCut || o == OutageSilent
}

func (s *Service) truncate(w http.ResponseWriter, r *http.Request) {
	var req Truncation
	if !decodeAdmin(w, r, &req) {
		return
	}
	stream := s.Stream(req.Stream)
	stream.Truncate(req.First)
	first, end := stream.Bounds()
	answer(w, http.StatusOK, logwire.ReadResponse{Records: []logwire.Record{}, First: first, End: end})
}

// decodeAdmin reads an administration request; unknown fields are refused.
func decodeAdmin(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, logwire.CodeInvalid, err.Error())
		return false
	}
	return true
}
