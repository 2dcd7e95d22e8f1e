// Package platformlog is a stand-in for the platform's log service: an
// http.Handler with retention limits and fault injection. It keeps all records
// in memory and is meant for tests, the demo and trial sites.
package platformlog

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logwire"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	maxReadWait   = 30 * time.Second
	maxReadCount  = 2048
	maxReadBytes  = 8 << 20 // record data in one response, which holds at least one record
	requestMargin = 4096    // bytes of JSON around a record's base64
)

// Config configures the service's limits. A zero value means no limit.
type Config struct {
	Retention        memlog.Retention
	AppendsPerSecond int
}

// Service is the stand-in log service. It is safe for concurrent use.
type Service struct {
	config Config
	mux    *http.ServeMux
	faults *faults
	rate   *rateLimit

	mu      sync.Mutex
	streams map[string]*memlog.Store
}

// New returns a service without records and without injected faults.
func New(config Config) *Service {
	s := &Service{
		config:  config,
		mux:     http.NewServeMux(),
		faults:  newFaults(),
		rate:    newRateLimit(config.AppendsPerSecond),
		streams: map[string]*memlog.Store{},
	}
	records := logwire.PathPrefix + "{stream}" + logwire.PathRecords
	s.mux.HandleFunc("POST "+records, s.append)
	s.mux.HandleFunc("GET "+records, s.read)
	s.mux.HandleFunc("GET "+PathFaults, s.showFaults)
	s.mux.HandleFunc("POST "+PathFaults, s.setFaults)
	s.mux.HandleFunc("POST "+PathTruncate, s.truncate)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stream returns a stream's store and creates it on the first call.
func (s *Service) Stream(name string) *memlog.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, exists := s.streams[name]
	if !exists {
		stream = memlog.New(s.config.Retention)
		s.streams[name] = stream
	}
	return stream
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*logwire.MaxRecordBytes+requestMargin))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, logwire.CodeTooLarge, "body not read: "+err.Error())
		return
	}
	var req logwire.AppendRequest
	if err := json.Unmarshal(body, &req); err != nil {
		writeError(w, http.StatusBadRequest, logwire.CodeInvalid, "body is not JSON: "+err.Error())
		return
	}
	if len(req.Data) > logwire.MaxRecordBytes {
		writeError(w, http.StatusRequestEntityTooLarge, logwire.CodeTooLarge, "record too large")
		return
	}
	if !s.faults.apply(w, r, s.faults.appendOutage) {
		return
	}
	if s.faults.takeRequestLoss() {
		abortConnection(w)
		return
	}
	if !s.rate.take(time.Now()) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, logwire.CodeRateLimited, "too many appends a second")
		return
	}
	offset, err := s.Stream(r.PathValue("stream")).Append(context.WithoutCancel(r.Context()), req.Data)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, logwire.CodeUnavailable, err.Error())
		return
	}
	if s.faults.takeAnswerLoss() {
		abortConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, logwire.AppendResponse{Offset: offset})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	req, err := parseReadRequest(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, logwire.CodeInvalid, err.Error())
		return
	}
	if !s.faults.apply(w, r, s.faults.readOutage) {
		return
	}
	stream := s.Stream(r.PathValue("stream"))
	req.From = s.faults.repeatFrom(stream, req.From)
	batch, err := stream.Read(r.Context(), req)
	var truncated *platlog.TruncatedError
	if errors.As(err, &truncated) {
		writeJSON(w, http.StatusGone, logwire.ErrorResponse{
			Code:    logwire.CodeTruncated,
			Message: err.Error(),
			First:   truncated.First,
		})
		return
	}
	if err != nil {
		return // the client has disconnected
	}
	writeJSON(w, http.StatusOK, newReadResponse(batch))
}

func parseReadRequest(r *http.Request) (platlog.ReadRequest, error) {
	from, err := parseNumber(r, logwire.ParamFrom, 1<<62)
	if err != nil {
		return platlog.ReadRequest{}, err
	}
	maxRecords, err := parseNumber(r, logwire.ParamMax, maxReadCount)
	if err != nil {
		return platlog.ReadRequest{}, err
	}
	wait, err := parseNumber(r, logwire.ParamWait, uint64(maxReadWait.Milliseconds()))
	if err != nil {
		return platlog.ReadRequest{}, err
	}
	return platlog.ReadRequest{
		From: topo.Offset(from),
		Max:  int(maxRecords),
		Wait: time.Duration(wait) * time.Millisecond,
	}, nil
}

// parseNumber parses a query parameter. It returns 0 when the parameter is absent
// and caps the value at limit.
func parseNumber(r *http.Request, name string, limit uint64) (uint64, error) {
	text := strings.TrimSpace(r.URL.Query().Get(name))
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &ParameterError{Name: name, Text: text}
	}
	return min(value, limit), nil
}

// ParameterError reports a parameter that is not a number.
type ParameterError struct{ Name, Text string }

// Error implements error.
func (e *ParameterError) Error() string {
	return "parameter " + e.Name + " is not a number: " + strconv.Quote(e.Text)
}

func newReadResponse(batch platlog.Batch) logwire.ReadResponse {
	response := logwire.ReadResponse{First: batch.First, End: batch.End, Records: []logwire.Record{}}
	bytes := 0
	for _, entry := range batch.Entries {
		if bytes += len(entry.Data); bytes > maxReadBytes && len(response.Records) > 0 {
			break
		}
		response.Records = append(response.Records, logwire.Record{Offset: entry.Offset, Data: entry.Data})
	}
	return response
}

// writeError sends an error response which states that nothing was appended.
func writeError(w http.ResponseWriter, status int, code logwire.Code, message string) {
	appended := false
	writeJSON(w, status, logwire.ErrorResponse{Code: code, Message: message, Appended: &appended})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only when the client has disconnected
}

// abortConnection makes net/http close the connection without a response.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }
