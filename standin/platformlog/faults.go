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

// Paths of the administration requests that inject faults.
const (
	PathFaults   = "/admin/faults"   // GET returns and POST replaces Faults
	PathTruncate = "/admin/truncate" // POST deletes old records, see Truncation
)

// maxAdminBytes bounds the body of an administration request.
const maxAdminBytes = 64 << 10

// Outage selects how the service fails requests during an outage.
type Outage string

// Kinds of outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // responds with 503 and states that nothing was appended
	OutageCut    Outage = "cut"    // closes the connection without a response
	OutageHang   Outage = "silent" // keeps the connection open and never responds
)

// Faults configures the injected faults. The zero value injects none.
type Faults struct {
	Reads        Outage `json:"reads"`
	Appends      Outage `json:"appends"`
	SlowMs       int    `json:"slow_ms"`       // delay added to every call
	LoseAnswers  int    `json:"lose_answers"`  // number of next appends that take effect without a response
	LoseRequests int    `json:"lose_requests"` // number of next appends that are dropped without a response
	Repeat       int    `json:"repeat"`        // number of earlier records that each read returns again
}

// Truncation deletes a stream's records below the offset First.
type Truncation struct {
	Stream string      `json:"stream"`
	First  topo.Offset `json:"first"`
}

// faults guards the current Faults. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	current Faults
}

func newFaults() *faults { return &faults{} }

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faults) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
}

func (f *faults) readOutage() Outage   { return f.get().Reads }
func (f *faults) appendOutage() Outage { return f.get().Appends }

// apply delays a call by the injected latency and fails it during an outage. It
// reports whether the call may proceed.
func (f *faults) apply(w http.ResponseWriter, r *http.Request, outage func() Outage) bool {
	if slow := time.Duration(f.get().SlowMs) * time.Millisecond; slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return false
		}
	}
	switch outage() {
	case OutageRefuse:
		writeError(w, http.StatusServiceUnavailable, logwire.CodeUnavailable, "injected outage")
		return false
	case OutageCut:
		abortConnection(w)
	case OutageHang:
		<-r.Context().Done()
		abortConnection(w)
	}
	return true
}

func (f *faults) takeAnswerLoss() bool  { return f.take(&f.current.LoseAnswers) }
func (f *faults) takeRequestLoss() bool { return f.take(&f.current.LoseRequests) }

func (f *faults) take(remaining *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// repeatFrom returns the offset at which a read starts so that it returns
// Faults.Repeat earlier records again, as far as the stream still has them.
func (f *faults) repeatFrom(stream *memlog.Store, from topo.Offset) topo.Offset {
	repeat := topo.Offset(max(f.get().Repeat, 0))
	first, _ := stream.Bounds()
	if repeat == 0 || from <= first {
		return from
	}
	if from <= first+repeat {
		return first
	}
	return from - repeat
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(next Faults) { s.faults.set(next) }

func (s *Service) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.faults.get())
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var next Faults
	if !decodeAdmin(w, r, &next) {
		return
	}
	if !next.Reads.valid() || !next.Appends.valid() {
		writeError(w, http.StatusBadRequest, logwire.CodeInvalid, "unknown outage")
		return
	}
	s.SetFaults(next)
	writeJSON(w, http.StatusOK, s.faults.get())
}

func (o Outage) valid() bool {
	return o == OutageNone || o == OutageRefuse || o == OutageCut || o == OutageHang
}

func (s *Service) truncate(w http.ResponseWriter, r *http.Request) {
	var req Truncation
	if !decodeAdmin(w, r, &req) {
		return
	}
	stream := s.Stream(req.Stream)
	stream.Truncate(req.First)
	first, end := stream.Bounds()
	writeJSON(w, http.StatusOK, logwire.ReadResponse{Records: []logwire.Record{}, First: first, End: end})
}

// decodeAdmin decodes the body of an administration request and rejects unknown
// fields. When it fails, it writes the error response and returns false.
func decodeAdmin(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeError(w, http.StatusBadRequest, logwire.CodeInvalid, err.Error())
		return false
	}
	return true
}
