package server

import (
	"encoding/json"
	"net/http"

	"github.com/burdockspindle/burdockspindle/history"
)

// Paths of the administration of a stand-in server, which injects faults into a
// server in a separate process. It has its own address, so that it works while
// the server is frozen.
const (
	AdminFreeze   = "/standin/freeze"   // POST
	AdminUnfreeze = "/standin/unfreeze" // POST
	AdminRestart  = "/standin/restart"  // POST
	AdminDrain    = "/standin/drain"    // POST
	AdminStall    = "/standin/silence"  // POST ?direction=in|out|both
	AdminFaults   = "/standin/faults"   // POST Faults
	AdminStats    = "/standin/stats"    // GET Stats
	AdminDump     = "/standin/dump"     // GET Dump; blocks while frozen
	AdminHistory  = "/standin/history"  // GET events as history.Encode writes them
)

// AdminHandler returns the handler of the administration. recorded is the
// server's recorder, whose events AdminHistory returns; nil when the history is
// not kept in memory.
func (s *Server) AdminHandler(recorded *history.Memory) http.Handler {
	mux := http.NewServeMux()
	handlePost := func(path string, action func(*http.Request) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if err := action(r); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	withoutError := func(action func()) func(*http.Request) error {
		return func(*http.Request) error { action(); return nil }
	}
	handlePost(AdminFreeze, withoutError(s.Freeze))
	handlePost(AdminUnfreeze, withoutError(s.Unfreeze))
	handlePost(AdminRestart, withoutError(s.Restart))
	handlePost(AdminDrain, withoutError(func() { s.Drain(true) }))
	handlePost(AdminStall, s.adminStall)
	handlePost(AdminFaults, s.adminFaults)
	mux.HandleFunc("GET "+AdminStats, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, s.Stats()) })
	mux.HandleFunc("GET "+AdminDump, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, s.Dump()) })
	mux.HandleFunc("GET "+AdminHistory, func(w http.ResponseWriter, _ *http.Request) {
		if recorded == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.FlushHistory()
		_ = history.Encode(w, recorded.Events())
	})
	return mux
}

func (s *Server) adminStall(r *http.Request) error {
	direction := Direction(r.URL.Query().Get("direction"))
	switch direction {
	case DirectionIn, DirectionOut, DirectionBoth:
		s.StallConnections(direction)
		return nil
	}
	return &AdminError{Problem: "direction must be in, out or both"}
}

func (s *Server) adminFaults(r *http.Request) error {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return &AdminError{Problem: err.Error()}
	}
	s.SetFaults(faults)
	return nil
}

func sendJSON(w http.ResponseWriter, value any) {
	w.Header().Set(headerContentType, "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// AdminError reports an invalid administration request.
type AdminError struct{ Problem string }

// Error implements error.
func (e *AdminError) Error() string { return "stand-in server: " + e.Problem }
