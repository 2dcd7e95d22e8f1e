package vms

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/vmlist"
)

// Paths of the stand-in's HTTP interface. GET of PathVMs is the platform's
// protocol; the other requests configure the stand-in.
const (
	PathVMs    = "/vms"    // GET the list; PUT a list's rows to add or replace them
	PathVM     = "/vms/"   // DELETE /vms/ID; PUT /vms/ID/PHASE
	PathFaults = "/faults" // PUT Faults
	// PathOverride takes PUT of a list with at most one row, which is shown in place
	// of the actual state of the ID, and DELETE to show the actual state again.
	PathOverride = "/mislead/"
)

const readHeaderTimeout = 5 * time.Second

// Handler returns a handler for a platform's list and the requests that
// configure it.
func Handler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathVMs, p.serveList)
	mux.HandleFunc("PUT "+PathVMs, p.servePut)
	mux.HandleFunc("PUT "+PathVM+"{id}/{phase}", p.servePhase)
	mux.HandleFunc("DELETE "+PathVM+"{id}", p.serveRemove)
	mux.HandleFunc("PUT "+PathFaults, p.serveFaults)
	mux.HandleFunc("PUT "+PathOverride+"{id}", p.serveOverride)
	mux.HandleFunc("DELETE "+PathOverride+"{id}", p.serveClearOverride)
	return mux
}

// Serve serves HTTP on a listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, p *Platform) error {
	server := &http.Server{Handler: Handler(p), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ServeError{Cause: err}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.VMs(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, err := vmlist.Encode(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// readRows decodes a list from a request's body. When it fails, it writes the
// error response and returns false.
func readRows(w http.ResponseWriter, r *http.Request) ([]vmlist.VM, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, vmlist.MaxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	rows, skipped, err := vmlist.Decode(body)
	if err == nil && skipped > 0 {
		err = &vmlist.MalformedError{Problem: "a row is not usable"}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return rows, true
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	rows, ok := readRows(w, r)
	if !ok {
		return
	}
	for _, vm := range rows {
		p.Put(vm)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) servePhase(w http.ResponseWriter, r *http.Request) {
	phase := vmlist.Phase(r.PathValue("phase"))
	switch phase {
	case vmlist.PhaseLive, vmlist.PhaseLeaving, vmlist.PhaseGone:
		p.SetPhase(r.PathValue("id"), phase)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "phase is not live, leaving or gone", http.StatusBadRequest)
	}
}

func (p *Platform) serveRemove(w http.ResponseWriter, r *http.Request) {
	p.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, vmlist.MaxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveOverride(w http.ResponseWriter, r *http.Request) {
	rows, ok := readRows(w, r)
	if !ok {
		return
	}
	var shown *vmlist.VM
	if len(rows) > 0 {
		shown = &rows[0]
	}
	p.Override(r.PathValue("id"), shown)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveClearOverride(w http.ResponseWriter, r *http.Request) {
	p.ClearOverride(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// ServeError reports that serving ended before its context did.
type ServeError struct{ Cause error }

// Error implements error.
func (e *ServeError) Error() string { return "stand-in VM list: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }
