package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
)

// Limits of the peer listener.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// pingAfter is the idle time after which a ping is sent on an accepted
	// connection; pingTimeout is the timeout for its response.
	pingAfter   = time.Minute
	pingTimeout = 10 * time.Second
)

// listener serves peers' calls and the mounted plain handlers.
type listener struct {
	files   *tlsfiles.Loader // nil without TLS
	server  *http.Server
	net     net.Listener
	traffic *traffic
	logger  hclog.Logger
	done    chan struct{} // closed when serving has ended
}

type socketKey struct{}

// listen opens the listener; files is nil without TLS.
func listen(address string, s *service, t *traffic, files *tlsfiles.Loader) (*listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	var config *tls.Config
	if files != nil {
		config = files.Server()
	}
	l := &listener{files: files, net: raw, traffic: t, logger: s.logger, done: make(chan struct{})}
	l.server = &http.Server{
		Handler:           l.trusted(l.mux(s)),
		TLSConfig:         config,
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		ConnContext:       rememberSocket,
		ErrorLog:          s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	l.server.Protocols.SetHTTP1(true)
	l.server.Protocols.SetHTTP2(config != nil)
	l.server.Protocols.SetUnencryptedHTTP2(config == nil)
	return l, nil
}

func rememberSocket(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, socketKey{}, socketOf(conn))
}

// serve runs until the listener is closed.
func (l *listener) serve() {
	defer close(l.done)
	counted := countingListener{l.net}
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(counted, "", "")
	} else {
		err = l.server.Serve(counted)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		eventServeFailed.Log(l.logger, "error", err)
	}
}

// close stops accepting connections, waits until ctx ends for the calls in
// flight, and closes the remaining connections.
func (l *listener) close(ctx context.Context) {
	if err := l.server.Shutdown(ctx); err != nil {
		eventShutdownForced.Log(l.logger, "error", err)
		_ = l.server.Close()
	}
	_ = l.net.Close()
	<-l.done
}

// mux routes connect calls to the service and the rest to the mounted handlers.
func (l *listener) mux(s *service) http.Handler {
	mux := http.NewServeMux()
	path, calls := bspbconnect.NewPeerServiceHandler(s,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressFromBytes),
		connect.WithRequestGate(s.admit),
	)
	mux.Handle(path, l.tagged(kindOfCall, calls))
	for prefix, handler := range s.handlers.HTTP {
		mux.Handle(prefix, l.tagged(kindOfForward, handler))
	}
	return mux
}

// tagged sets the kind of a connection's socket on its first request.
func (l *listener) tagged(kindOf func(*http.Request) core.Kind, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from, _ := r.Context().Value(socketKey{}).(*socket); from != nil && from.counts.Load() == nil {
			from.tag(l.traffic.of(kindOf(r)))
		}
		next.ServeHTTP(w, r)
	})
}

// trusted refuses requests on a connection whose client certificate is not signed
// by the current authorities, although it was by those in use at the handshake.
func (l *listener) trusted(next http.Handler) http.Handler {
	if l.files == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := r.Context().Value(socketKey{}).(*socket)
		if err := l.check(from, r.TLS); err != nil {
			eventUntrusted.Log(l.logger, "from", r.RemoteAddr, "error", err)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// check verifies a connection once for each generation of certificates.
func (l *listener) check(from *socket, state *tls.ConnectionState) error {
	generation := l.files.Generation() + 1
	if from != nil && from.verified.Load() == generation {
		return nil
	}
	if err := l.files.VerifyClient(state.PeerCertificates); err != nil {
		return err
	}
	if from != nil {
		from.verified.Store(generation)
	}
	return nil
}

func kindOfForward(*http.Request) core.Kind { return kindForward }

// kindOfCall derives the kind from the last segment of a procedure's path.
func kindOfCall(r *http.Request) core.Kind {
	procedure := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch procedure {
	case "Heartbeat":
		return core.KindHeartbeat
	case "ReadLog":
		return core.KindReadLog
	case "FetchSnapshot":
		return core.KindSnapshot
	case "Announce":
		return core.KindAnnounce
	case "ReportLoad":
		return core.KindReportLoad
	case "Move":
		return core.KindMove
	}
	return core.KindStatus
}

// ListenError reports a peer address on which listening failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "peer listener " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
