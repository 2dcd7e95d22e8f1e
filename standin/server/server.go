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

// Server is a stand-in backend server. Its methods may be called concurrently.
type Server struct {
	config   Config
	gate     gate
	faults   *faultBox
	counters counters
	draining atomic.Bool

	mu       sync.Mutex
	life     *life
	listener *listener
	http     *http.Server
	served   chan struct{} // closed when http.Serve returned
}

// New returns a server that does not listen yet.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{config: config, faults: newFaultBox(config.Seed)}
	s.counters.limit = config.Concurrency
	s.life = newLife(s)
	return s
}

// current returns the present run of the server.
func (s *Server) current() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
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
// returns the address, which tells the port if none was given.
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
	boot := s.life.boot
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
	s.current().die()
	eventStopped.Log(s.config.Logger, "server", s.config.ID)
	return err
}

// Kill ends the server at once, as the loss of its VM would: connections are
// reset and nothing in flight takes effect any more.
func (s *Server) Kill() {
	s.current().die()
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

// Restart ends the present run at once and starts another, empty, at the same
// address.
func (s *Server) Restart() {
	s.current().die()
	s.gate.open()
	s.resetConnections()
	s.mu.Lock()
	s.life = newLife(s)
	boot := s.life.boot
	s.mu.Unlock()
	s.Drain(false)
	eventRestarted.Log(s.config.Logger, "server", s.config.ID, "boot", boot)
}

func (s *Server) resetConnections() {
	s.mu.Lock()
	counted := s.listener
	s.mu.Unlock()
	if counted != nil {
		counted.each((*faultConn).reset)
	}
}

// Freeze stops everything, the reading of the clock included, until Unfreeze;
// work that is under way then goes on as if no time had passed.
func (s *Server) Freeze() {
	if s.gate.close() {
		eventFrozen.Log(s.config.Logger, "server", s.config.ID)
	}
}

// Unfreeze lets a frozen server go on.
func (s *Server) Unfreeze() {
	if s.gate.open() {
		eventUnfrozen.Log(s.config.Logger, "server", s.config.ID)
	}
}

// Silence makes the connections that are open now silent for good. New ones
// work.
func (s *Server) Silence(direction Direction) {
	s.mu.Lock()
	counted := s.listener
	s.mu.Unlock()
	if counted == nil {
		return
	}
	counted.each(func(conn *faultConn) {
		if direction != DirectionOut {
			conn.silentIn.Store(true)
		}
		if direction != DirectionIn {
			conn.silentOut.Store(true)
		}
	})
	eventSilenced.Log(s.config.Logger, "server", s.config.ID, "direction", direction)
}

// SetFaults replaces the standing misbehaviours.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	eventFaults.Log(s.config.Logger, "server", s.config.ID, "faults", faults)
}

// Drain tells the lessor, with the next reply, that the server wants to leave
// or that it does not any more.
func (s *Server) Drain(draining bool) {
	s.draining.Store(draining)
	run := s.current()
	run.mu.Lock()
	run.holder.SetDraining(draining)
	run.mu.Unlock()
}

// FlushHistory records the owner intervals that are still open up to now. It
// must be called before a history is judged.
func (s *Server) FlushHistory() { s.current().flush() }

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
