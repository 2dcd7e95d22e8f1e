package server

import (
	"encoding/json"
	"net/http"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// maxControlBytes limits the size of a lessor's message.
const maxControlBytes = 4 << 20

// handleLease handles a lessor's renewal.
func (s *Server) handleLease(w http.ResponseWriter, r *http.Request) {
	var req serverapi.LeaseRequest
	if !readControl(w, r, &req) {
		return
	}
	if s.isForOtherServer(r) {
		s.sendControl(w, s.current().otherServer())
		return
	}
	s.counters.update(func(c *Stats) { c.Renewals++ })
	s.sendControl(w, s.current().renew(req))
}

// handleAcknowledge handles a lessor's announcement of its new term.
func (s *Server) handleAcknowledge(w http.ResponseWriter, r *http.Request) {
	var req serverapi.AcknowledgeRequest
	if !readControl(w, r, &req) {
		return
	}
	if s.isForOtherServer(r) {
		s.sendControl(w, s.current().otherServer())
		return
	}
	s.sendControl(w, s.current().acknowledge(req))
}

// isForOtherServer reports whether a call names another server, which previously
// had this server's address.
func (s *Server) isForOtherServer(r *http.Request) bool {
	target := r.Header.Get(serverapi.HeaderServer)
	return target != "" && target != string(s.config.ID)
}

func readControl(w http.ResponseWriter, r *http.Request, target any) bool {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return false
	}
	body := http.MaxBytesReader(w, r.Body, maxControlBytes)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) sendControl(w http.ResponseWriter, reply serverapi.LeaseReply) {
	reply.Load = s.load()
	w.Header().Set(headerContentType, "application/json")
	switch reply.Refused {
	case "":
	case serverapi.RefusedMalformed:
		w.WriteHeader(http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// load returns the server's load, or the load that fault injection sets.
func (s *Server) load() serverapi.Load {
	if override := s.faults.get().Load; override != nil {
		return *override
	}
	stats := s.Stats()
	load := serverapi.Load{InFlight: stats.InFlight, Connections: stats.Connections, Shed: stats.Shed}
	if s.config.Concurrency > 0 {
		load.Utilization = float64(stats.InFlight) / float64(s.config.Concurrency)
	}
	return load
}
