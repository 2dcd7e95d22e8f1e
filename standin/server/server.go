package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Server is a stand-in backend server. It is safe for concurrent use.
type Server struct {
	config   Config
	gate     gate
	faults   *faultState
	counters counters
	draining atomic.Bool

	mu          sync.Mutex
	incarnation *incarnation
	listener    *listener
	http        *http.Server
	served      chan struct{} // closed after http.Serve has returned
}

// New returns a server that does not listen yet.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{config: config, faults: newFaultState(config.Seed)}
	s.counters.limit = config.Concurrency
	s.incarnation = newIncarnation(s)
	return s
}

// current returns the current incarnation of the server.
func (s *Server) current() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.gate.pass()
	switch {
	case r.URL.Path == serverapi.PathLease:
		s.handleLease(w, r)
	case r.URL.Path == serverapi.PathAcknowledge:
		s.handleAcknowledge(w, r)
	case strings.HasPrefix(r.URL.Path, serverapi.PathRequest):
		s.serve(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Listen opens a TCP listener at host:port and serves in the background. It
// returns the actual address, which includes the port that the system chose for
// port 0.
func (s *Server) Listen(address string) (string, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return "", merry.Wrap(&ListenError{Address: address, Cause: err})
	}
	s.Serve(inner)
	return inner.Addr().String(), nil
}

// Serve serves a listener in the background, until Stop or Kill.
func (s *Server) Serve(inner net.Listener) {
	counted := newListener(inner, &s.gate, s.config.Connections)
	server := &http.Server{Handler: s}
	served := make(chan struct{})
	s.mu.Lock()
	s.listener, s.http, s.served = counted, server, served
	boot := s.incarnation.boot
	s.mu.Unlock()
	eventStarted.Log(s.config.Logger, "server", s.config.ID, "boot", boot, "address", inner.Addr().String())
	go func() {
		defer close(served)
		_ = server.Serve(counted)
	}()
}

// Stop ends the server gracefully: it stops listening, and waits for requests in
// flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.gate.open()
	s.mu.Lock()
	server, served := s.http, s.served
	s.mu.Unlock()
	var err error
	if server != nil {
		if err = server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
		<-served
	}
	s.current().terminate()
	eventStopped.Log(s.config.Logger, "server", s.config.ID)
	return err
}

// Kill ends the server immediately, as the loss of its VM would: connections are
// reset, and requests in flight no longer take effect.
func (s *Server) Kill() {
	s.current().terminate()
	s.gate.open()
	s.mu.Lock()
	server, served := s.http, s.served
	s.mu.Unlock()
	if server != nil {
		s.resetConnections()
		_ = server.Close()
		<-served
	}
	eventKilled.Log(s.config.Logger, "server", s.config.ID)
}

// Restart ends the current incarnation immediately and starts an empty one at the
// same address.
func (s *Server) Restart() {
	s.current().terminate()
	s.gate.open()
	s.resetConnections()
	s.mu.Lock()
	s.incarnation = newIncarnation(s)
	boot := s.incarnation.boot
	s.mu.Unlock()
	s.Drain(false)
	eventRestarted.Log(s.config.Logger, "server", s.config.ID, "boot", boot)
}

func (s *Server) resetConnections() {
	s.mu.Lock()
	counted := s.listener
	s.mu.Unlock()
	if counted != nil {
		counted.forEach((*faultConn).reset)
	}
}

// Freeze blocks all work, including the reading of the clock, until Unfreeze; work
// in flight then continues as if no time had passed.
func (s *Server) Freeze() {
	if s.gate.close() {
		eventFrozen.Log(s.config.Logger, "server", s.config.ID)
	}
}

// Unfreeze resumes a frozen server.
func (s *Server) Unfreeze() {
	if s.gate.open() {
		eventUnfrozen.Log(s.config.Logger, "server", s.config.ID)
	}
}

// StallConnections stalls the currently open connections permanently. New connections are not
// affected.
func (s *Server) StallConnections(direction Direction) {
	s.mu.Lock()
	counted := s.listener
	s.mu.Unlock()
	if counted == nil {
		return
	}
	counted.forEach(func(conn *faultConn) {
		if direction != DirectionOut {
			conn.stalledIn.Store(true)
		}
		if direction != DirectionIn {
			conn.stalledOut.Store(true)
		}
	})
	eventStalled.Log(s.config.Logger, "server", s.config.ID, "direction", direction)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	eventFaults.Log(s.config.Logger, "server", s.config.ID, "faults", faults)
}

// Drain sets whether the server is draining, which the next reply reports to the
// lessor.
func (s *Server) Drain(draining bool) {
	s.draining.Store(draining)
	inc := s.current()
	inc.mu.Lock()
	inc.holder.SetDraining(draining)
	inc.mu.Unlock()
}

// FlushHistory records the open owner intervals up to now. It must be called before a
// history is checked.
func (s *Server) FlushHistory() { s.current().flushIntervals() }

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
