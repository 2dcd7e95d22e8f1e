// Package node implements the process of one entry VM: it derives the ordered
// list of modules from the settings, and starts, drains and stops the modules.
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

// bootIDBytes is the length of the random boot ID, which distinguishes two
// incarnations of a node.
const bootIDBytes = 8

// Node is one entry node. A process runs one node; the demo and tests run several
// in one process.
type Node struct {
	runtime       *kernel.Runtime
	drainRequests chan struct{} // receives a shutdown request; capacity 1
	drainTimeout  time.Duration // limit of a graceful shutdown
	logger        hclog.Logger
}

// New provisions and validates every module of the node without starting any.
func New(s *settings.Settings, logger hclog.Logger) (*Node, error) {
	return NewWith(s, logger)
}

// NewWith is New with additional services, which the demo and tests use to
// replace those that modules use otherwise. Each option is applied before the
// first module is provisioned.
func NewWith(s *settings.Settings, logger hclog.Logger, options ...Option) (*Node, error) {
	boot, err := newBootID()
	if err != nil {
		return nil, err
	}
	identity := kernel.Identity{Node: s.Node, Boot: boot, Zone: s.Zone, Region: s.Region}
	logger = logger.With("node", s.Node)
	n := &Node{
		runtime:       kernel.NewRuntime(kernel.NewContext(identity, logger)),
		drainRequests: make(chan struct{}, 1),
		drainTimeout:  s.Limits.DrainTimeout,
		logger:        logger,
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
	id := make([]byte, bootIDBytes)
	if _, err := rand.Read(id); err != nil {
		return "", &BootIDError{Cause: err}
	}
	return topo.BootID(hex.EncodeToString(id)), nil
}

// Identity returns the node's identity.
func (n *Node) Identity() kernel.Identity { return n.runtime.Context().Identity }

// Context returns the context that the node's modules share.
func (n *Node) Context() *kernel.Context { return n.runtime.Context() }

// Start starts the modules. Their goroutines continue after ctx ends.
func (n *Node) Start(ctx context.Context) error {
	id := n.Identity()
	eventStarting.Log(n.logger, "boot", id.Boot, "zone", id.Zone, "region", id.Region)
	if err := n.runtime.Start(ctx); err != nil {
		return err
	}
	eventStarted.Log(n.logger, "listeners", n.Addresses())
	return nil
}

// RequestDrain requests that Run shut the node down gracefully. It returns at
// once.
func (n *Node) RequestDrain() {
	select {
	case n.drainRequests <- struct{}{}:
	default: // a request is pending already
	}
}

// DrainRequested returns the channel that receives a value when a graceful
// shutdown is requested.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequests }

// Shutdown drains the modules and then stops them, within the drain timeout of
// the settings. Requests in flight are completed.
func (n *Node) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.drainTimeout)
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

// Kill stops the node without draining it, as when the VM is lost: no term is
// resigned, no peer is notified, and connections are closed abruptly.
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

// Addresses returns the bound address of each listener, by role. It is valid once
// the node has started.
func (n *Node) Addresses() map[kernel.ListenerRole]string {
	return n.runtime.Addresses()
}
