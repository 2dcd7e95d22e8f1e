// Package admin implements the module "admin.http", the administration API for
// operators. It serves only requests that carry the bearer token of the settings;
// without a token in the settings it opens no listener. Package adminapi defines the
// interface, docs/ADMIN.md describes it.
package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
)

func init() { kernel.Register(&Module{}) }

// Timeouts of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Module is the administration API of one node.
type Module struct {
	settings   *settings.Settings
	logger     hclog.Logger
	api        *api
	server     *http.Server
	listener   net.Listener
	serveDone  chan struct{} // closed when the goroutine of serve has ended
	cancel     context.CancelFunc
	followDone chan struct{} // closed when the goroutine of follow has ended
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admin.http", New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.settings, err = kernel.Use[*settings.Settings](ctx); err != nil {
		return err
	}
	m.logger = ctx.Logger.Named("admin")
	m.api = &api{
		identity: ctx.Identity,
		logger:   m.logger,
		started:  time.Now(),
		versions: newVersions(m.logger),
		token:    newToken(m.settings.Admin.Token),
	}
	return m.api.resolveServices(ctx)
}

// resolveServices resolves the services that the API depends on.
func (a *api) resolveServices(ctx *kernel.Context) error {
	var errs [6]error
	a.source, errs[0] = kernel.Use[state.Source](ctx)
	a.appender, errs[1] = kernel.Use[follower.Appender](ctx)
	a.contact, errs[2] = kernel.Use[follower.Contact](ctx)
	a.dump, errs[3] = kernel.Use[kernel.DumpFunc](ctx)
	a.drain, errs[4] = kernel.Use[kernel.DrainFunc](ctx)
	a.peers, errs[5] = kernel.Use[peer.Caller](ctx)
	a.localMoves, _ = kernel.Use[*peer.Handlers](ctx) // optional
	return errors.Join(errs[:]...)
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error {
	if m.settings.Admin.Token == "" {
		return &NoTokenError{}
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	handler, err := m.api.handler()
	if err != nil {
		return err
	}
	config, err := m.serverTLS()
	if err != nil {
		return err
	}
	address := m.settings.Admin.Address
	if m.listener, err = net.Listen("tcp", address); err != nil {
		return &ListenError{Address: address, Cause: err}
	}
	m.server = &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    m.settings.Limits.MaxHeaderBytes,
		ErrorLog:          m.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Trace}),
	}
	m.serveDone = make(chan struct{})
	m.followDone = make(chan struct{})
	eventListening.Log(m.logger, "address", m.listener.Addr().String(), "tls", config != nil)
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	go m.serve()
	go m.follow(ctx)
	return nil
}

// serverTLS returns the server's TLS configuration, or nil if the settings contain
// no TLS files.
func (m *Module) serverTLS() (*tls.Config, error) {
	if m.settings.Admin.TLS == nil {
		return nil, nil
	}
	loader, err := tlsfiles.New(*m.settings.Admin.TLS, m.logger)
	if err != nil {
		return nil, err
	}
	return loader.Server(), nil
}

func (m *Module) serve() {
	defer close(m.serveDone)
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

func (m *Module) follow(ctx context.Context) {
	defer close(m.followDone)
	m.api.versions.follow(ctx, m.api.source)
}

// ListenAddress implements kernel.Listening.
func (m *Module) ListenAddress() (kernel.ListenerRole, string) {
	if m.listener == nil {
		return kernel.RoleAdmin, m.settings.Admin.Address
	}
	return kernel.RoleAdmin, m.listener.Addr().String()
}

// Drain implements kernel.Drainer. The API stays available, so that operators can
// observe the drain.
func (m *Module) Drain(context.Context) error {
	m.api.draining.Store(true)
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(ctx context.Context) error {
	if m.server == nil {
		return nil
	}
	if err := m.server.Shutdown(ctx); err != nil {
		_ = m.server.Close()
	}
	<-m.serveDone
	m.cancel()
	<-m.followDone
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	_, address := m.ListenAddress()
	return struct {
		Address  string            `json:"address"`
		Versions []recordedVersion `json:"versions"`
	}{address, m.api.versions.list()}
}
