// Package node is one entry VM's process: it turns settings into the ordered
// list of modules that make up a node, and starts, drains and stops them.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/kernel"
	_ "github.com/burdockspindle/burdockspindle/modules/standard" // registers the modules
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/topo"
)

// bootIDBytes is the length of the random part that tells two runs apart.
const bootIDBytes = 8

// Node is one process, or one of several in the demo and in tests.
type Node struct {
	runtime *kernel.Runtime
	drains  chan struct{} // receives a request to shut down; size 1
	timeout time.Duration // longest graceful shutdown
	logger  hclog.Logger
}

// New provisions and validates every module of the node. Nothing is started.
func New(s *settings.Settings, logger hclog.Logger) (*Node, error) {
	return NewWith(s, logger)
}

// NewWith is New with services that replace what modules would find, for the
// demo and for tests: each option is called before the first module.
func NewWith(s *settings.Settings, logger hclog.Logger, options ...Option) (*Node, error) {
	boot, err := newBootID()
	if err != nil {
		return nil, err
	}
	identity := kernel.Identity{Node: s.Node, Boot: boot, Zone: s.Zone, Region: s.Region}
	logger = logger.With("node", s.Node)
	n := &Node{
		runtime: kernel.NewRuntime(kernel.NewContext(identity, logger)),
		drains:  make(chan struct{}, 1),
		timeout: s.Limits.DrainTimeout,
		logger:  logger,
	}
	if err := n.provide(s, options); err != nil {
		return nil, err
	}
	if err := n.runtime.Load(moduleIDs(s)...); err != nil {
		return nil, err
	}
	return n, nil
}

// Option provides an extra service to a node's modules.
type Option func(ctx *kernel.Context) error

// WithService returns the option that provides one service.
func WithService[T any](service T) Option {
	return func(ctx *kernel.Context) error { return kernel.Provide(ctx, service) }
}

func (n *Node) provide(s *settings.Settings, options []Option) error {
	ctx := n.runtime.Context()
	if err := kernel.Provide(ctx, s); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, kernel.DumpFunc(n.Dump)); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, kernel.DrainFunc(n.RequestDrain)); err != nil {
		return err
	}
	for _, option := range options {
		if err := option(ctx); err != nil {
			return err
		}
	}
	return nil
}

func newBootID() (topo.BootID, error) {
	random := make([]byte, bootIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", &BootIDError{Cause: err}
	}
	return topo.BootID(hex.EncodeToString(random)), nil
}

// Identity returns who the node is.
func (n *Node) Identity() kernel.Identity { return n.runtime.Context().Identity }

// Context returns the context that the node's modules share.
func (n *Node) Context() *kernel.Context { return n.runtime.Context() }

// Start starts the modules; their goroutines outlive ctx.
func (n *Node) Start(ctx context.Context) error {
	id := n.Identity()
	eventStarting.Log(n.logger, "boot", id.Boot, "zone", id.Zone, "region", id.Region)
	if err := n.runtime.Start(ctx); err != nil {
		return err
	}
	eventStarted.Log(n.logger, "listeners", n.Addresses())
	return nil
}

// RequestDrain asks Run to shut the node down gracefully. It returns at once.
func (n *Node) RequestDrain() {
	select {
	case n.drains <- struct{}{}:
	default: // a request is pending already
	}
}

// DrainRequested receives once a graceful shutdown was asked for.
func (n *Node) DrainRequested() <-chan struct{} { return n.drains }

// Shutdown drains the modules and stops them, within the settings' drain
// timeout. Requests in flight are finished.
func (n *Node) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	eventDraining.Log(n.logger)
	drainErr := n.runtime.Drain(ctx)
	stopErr := n.runtime.Stop(ctx)
	eventStopped.Log(n.logger)
	if drainErr != nil {
		return drainErr
	}
	return stopErr
}

// Kill stops the node without draining it: no term is resigned, no peer told,
// and connections are cut off, as when the VM is lost.
func (n *Node) Kill() error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	eventKilled.Log(n.logger)
	return n.runtime.Stop(ended)
}

// Dump returns the state of the node and of every module.
func (n *Node) Dump() map[string]any {
	dump := n.runtime.Dump()
	dump["node"] = n.Identity()
	return dump
}

// Addresses returns the bound address of each listener, once started.
func (n *Node) Addresses() map[kernel.ListenerRole]string {
	return n.runtime.Addresses()
}
