package server

import (
	"encoding/json"
	"net/http"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// maxControlBytes bounds a lessor's message.
const maxControlBytes = 4 << 20

// handleLease answers a lessor's renewal.
func (s *Server) handleLease(w http.ResponseWriter, r *http.Request) {
	var req serverapi.LeaseRequest
	if !readControl(w, r, &req) {
		return
	}
	if s.otherServerMeant(r) {
		s.sendControl(w, s.current().otherServer())
		return
	}
	s.counters.update(func(c *Stats) { c.Renewals++ })
	s.sendControl(w, s.current().renew(req))
}

// handleAcknowledge answers a lessor's new term.
func (s *Server) handleAcknowledge(w http.ResponseWriter, r *http.Request) {
	var req serverapi.AcknowledgeRequest
	if !readControl(w, r, &req) {
		return
	}
	if s.otherServerMeant(r) {
		s.sendControl(w, s.current().otherServer())
		return
	}
	s.sendControl(w, s.current().acknowledge(req))
}

// otherServerMeant reports whether a call names another server, which had this
// one's address before.
func (s *Server) otherServerMeant(r *http.Request) bool {
	meant := r.Header.Get(serverapi.HeaderServer)
	return meant != "" && meant != string(s.config.ID)
}

func readControl(w http.ResponseWriter, r *http.Request, into any) bool {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return false
	}
	body := http.MaxBytesReader(w, r.Body, maxControlBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
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

// load is the server's own report, or the one it was told to give.
func (s *Server) load() serverapi.Load {
	if told := s.faults.get().Load; told != nil {
		return *told
	}
	stats := s.Stats()
	load := serverapi.Load{InFlight: stats.InFlight, Connections: stats.Connections, Shed: stats.Shed}
	if s.config.Concurrency > 0 {
		load.Utilization = float64(stats.InFlight) / float64(s.config.Concurrency)
	}
	return load
}
