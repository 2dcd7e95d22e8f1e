// Package peer is the module peer.connect: entry nodes call each other with
// connect-go over HTTP/2, with mutual TLS if the settings name certificates.
// It opens the peer listener and provides peer.Caller, *peer.Handlers and
// peer.Listener.
package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/kernel"
	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Defaults for settings that are zero.
const (
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = time.Second
	defaultSuspectAfter   = 350 * time.Millisecond
	// stallTimeoutDivisor divides the suspicion time: a stalled connection must be
	// detected and replaced, and the new one tried, before the peer is suspected.
	stallTimeoutDivisor = 3
)

func init() { kernel.Register(&Module{}) }

// Module implements kernel.Module.
type Module struct {
	ctx      *kernel.Context
	settings *settings.Settings
	logger   hclog.Logger
	handlers *core.Handlers
	service  *service
	client   *client
	traffic  *traffic
	files    *tlsfiles.Loader // nil without TLS
	listener *listener
	cancel   context.CancelFunc
	seedDone chan struct{}
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "peer.connect", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.settings, err = kernel.Use[*settings.Settings](ctx); err != nil {
		return err
	}
	m.ctx = ctx
	m.logger = ctx.Logger.Named("peer")
	m.handlers = &core.Handlers{}
	m.traffic = newTraffic()
	sender := &bspb.Sender{
		Node: string(ctx.Identity.Node),
		Boot: string(ctx.Identity.Boot),
		Zone: string(ctx.Identity.Zone),
	}
	m.service = &service{sender: sender, handlers: m.handlers, logger: m.logger}
	if files := m.settings.Peer.TLS; files != nil {
		if m.files, err = tlsfiles.New(*files, m.logger); err != nil {
			return err
		}
	}
	m.client = m.newClient(sender)
	return errors.Join(
		kernel.Provide[core.Caller](ctx, m.client),
		kernel.Provide(ctx, m.handlers),
		kernel.Provide[core.Listener](ctx, m),
	)
}

func (m *Module) newClient(sender *bspb.Sender) *client {
	limits, timing := m.settings.Limits, m.settings.Timing
	stallTimeout := orDefault(timing.SuspectAfter, defaultSuspectAfter) / stallTimeoutDivisor
	return &client{
		sender:    sender,
		logger:    m.logger,
		directory: &directory{self: m.ctx.Identity, seeds: map[topo.NodeID]string{}},
		dialer:    &dialer{traffic: m.traffic, files: m.files, open: m.dial()},
		timing: linkTiming{
			connectTimeout: orDefault(limits.ConnectTimeout, defaultConnectTimeout),
			stallTimeout:   stallTimeout,
		},
		timeout: orDefault(limits.StallTimeout, defaultCallTimeout),
		links:   map[linkKey]*link{},
	}
}

// dial returns the function that opens connections to peers.
func (m *Module) dial() core.Dial {
	if provided, err := kernel.Use[core.Dial](m.ctx); err == nil {
		return provided
	}
	return new(net.Dialer).DialContext
}

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	if source, err := kernel.Use[state.Source](m.ctx); err == nil {
		m.client.directory.source = source
	}
	var err error
	if m.listener, err = listen(m.settings.Peer.Address, m.service, m.traffic, m.files); err != nil {
		return err
	}
	eventListening.Log(m.logger, "address", m.listener.net.Addr().String())
	go m.listener.serve()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.seedDone = make(chan struct{})
	go func() {
		defer close(m.seedDone)
		resolver := &seedResolver{client: m.client, addresses: m.settings.Seeds}
		resolver.run(ctx)
	}()
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(ctx context.Context) error {
	m.cancel()
	<-m.seedDone
	m.listener.close(ctx)
	m.client.close()
	return nil
}

// ListenAddress implements kernel.Listening.
func (m *Module) ListenAddress() (kernel.ListenerRole, string) {
	if m.listener == nil {
		return kernel.RolePeer, m.settings.Peer.Address
	}
	return kernel.RolePeer, m.listener.net.Addr().String()
}

// Address implements peer.Listener.
func (m *Module) Address() string {
	_, address := m.ListenAddress()
	return address
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return dump{
		Address: m.Address(),
		Known:   m.client.Known(),
		Bytes:   m.traffic.dump(),
		Links:   m.client.dump(),
	}
}

type dump struct {
	Address string                  `json:"address"`
	Known   []topo.NodeID           `json:"known"`
	Bytes   map[core.Kind]bytesDump `json:"bytes"`
	Links   []linkDump              `json:"links"`
}
