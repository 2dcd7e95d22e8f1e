// Package frontend is the module "frontend.http": the HTTP listener for
// callers. It parses requests, passes them to the router and writes the
// responses; docs/CALLERS.md specifies its interface.
package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
	"weak"

	"github.com/hashicorp/go-hclog"
	"github.com/kataras/iris/v12"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
)

func init() { kernel.Register(&Module{}) }

// Timeouts of callers' connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Listen opens the callers' listener. A process whose callers do not connect over
// TCP provides its own.
type Listen func(network, address string) (net.Listener, error)

// Module is the front end.
type Module struct {
	logger   hclog.Logger
	settings *settings.Settings
	handler  *handler
	listen   Listen
	server   *http.Server
	listener net.Listener
	served   chan struct{} // closed when the server's goroutine has ended
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "frontend.http", New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.logger = ctx.Logger
	var err error
	if m.settings, err = kernel.Use[*settings.Settings](ctx); err != nil {
		return err
	}
	m.listen = net.Listen
	if replaced, err := kernel.Use[Listen](ctx); err == nil {
		m.listen = replaced
	}
	next, err := kernel.Use[exchange.Handler](ctx)
	if err != nil {
		return err
	}
	m.handler = &handler{
		next:     next,
		idPrefix: string(ctx.Identity.Node) + "-" + string(ctx.Identity.Boot) + "-",
		drain:    newDrainState(),
		logger:   m.logger,
	}
	routes, err := buildRoutes(m.handler)
	if err != nil {
		return err
	}
	m.server = &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    m.settings.Limits.MaxHeaderBytes,
		ErrorLog:          m.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Trace}),
	}
	return nil
}

// buildRoutes sets up iris. This package parses the paths of services itself from
// the escaped path, because keys may contain any bytes. The routes refer to the handler
// weakly, because iris keeps every application until the process ends.
func buildRoutes(h *handler) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithConfiguration(iris.Configuration{
		DisableStartupLog:                 true,
		DisableInterruptHandler:           true,
		DisablePathCorrection:             true,
		DisablePathCorrectionRedirection:  true,
		DisableAutoFireStatusCode:         true,
		DisableBodyConsumptionOnUnmarshal: true,
	}))
	target := weak.Make(h)
	route := func(serve func(*handler, http.ResponseWriter, *http.Request)) iris.Handler {
		return func(ctx iris.Context) {
			if h := target.Value(); h != nil { // else the module has ended
				serve(h, ctx.ResponseWriter().Naive(), ctx.Request())
			}
		}
	}
	app.Get(callerapi.PathHealth, route((*handler).health))
	app.Any("/{tail:path}", route((*handler).serve))
	app.Any("/", route((*handler).serve))
	if err := app.Build(); err != nil {
		return nil, &BuildError{Cause: err}
	}
	return app, nil
}

// health serves the health checks of the platform's balancer: 200 while new
// callers are accepted, 503 from the start of a drain.
func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	if h.drain.healthy() {
		writeText(w, http.StatusOK, "ok\n")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "draining\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	listener, err := m.listen("tcp", m.settings.Frontend.Address)
	if err != nil {
		return &ListenError{Address: m.settings.Frontend.Address, Cause: err}
	}
	if err := m.secure(); err != nil {
		_ = listener.Close()
		return err
	}
	m.listener = listener
	m.served = make(chan struct{})
	eventListening.Log(m.logger, "address", listener.Addr().String())
	go m.serve()
	return nil
}

// secure configures TLS if the settings name certificates.
func (m *Module) secure() error {
	if m.settings.Frontend.TLS == nil {
		return nil
	}
	loader, err := tlsfiles.New(*m.settings.Frontend.TLS, m.logger)
	if err != nil {
		return err
	}
	m.server.TLSConfig = loader.Server()
	return nil
}

func (m *Module) serve() {
	defer close(m.served)
	var err error
	if m.server.TLSConfig != nil {
		err = m.server.ServeTLS(m.listener, "", "")
	} else {
		err = m.server.Serve(m.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		eventServeFailed.Log(m.logger, "error", err)
	}
}

// ListenAddress implements kernel.Listening.
func (m *Module) ListenAddress() (kernel.ListenerRole, string) {
	if m.listener == nil {
		return kernel.RoleFrontend, m.settings.Frontend.Address
	}
	return kernel.RoleFrontend, m.listener.Addr().String()
}

// Drain implements kernel.Drainer: for the drain delay the health endpoint fails
// while requests are still served. Drain then refuses new requests and waits for
// those in flight. The listener stays open until Stop.
func (m *Module) Drain(ctx context.Context) error {
	drain := m.handler.drain
	drain.advance(phaseUnhealthy)
	eventDraining.Log(m.logger, "in_flight", drain.inFlightCount())
	select {
	case <-time.After(m.settings.Limits.DrainDelay):
	case <-ctx.Done():
	}
	drain.advance(phaseRefusing)
	eventRefusing.Log(m.logger, "in_flight", drain.inFlightCount())
	if err := drain.waitIdle(ctx); err != nil {
		eventDrainTimeout.Log(m.logger, "in_flight", drain.inFlightCount())
		return err
	}
	eventDrained.Log(m.logger)
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(ctx context.Context) error {
	if m.listener == nil {
		return nil
	}
	if err := m.server.Shutdown(ctx); err != nil {
		_ = m.server.Close()
	}
	<-m.served
	return nil
}

// Kill closes the listener and aborts the requests in flight, as the loss of the
// VM would. Tests and the demo use it.
func (m *Module) Kill() {
	_ = m.server.Close()
	<-m.served
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	_, address := m.ListenAddress()
	return struct {
		Address  string `json:"address"`
		Healthy  bool   `json:"healthy"`
		InFlight int    `json:"inFlight"`
	}{address, m.handler.drain.healthy(), m.handler.drain.inFlightCount()}
}
