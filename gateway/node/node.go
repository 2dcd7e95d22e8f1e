// Package node runs a gateway node: it loads and starts the gateway modules in order and
// shuts them down gracefully.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/topo"
)

var (
	eventStarting = events.Define(2310, hclog.Info, "gateway node starting")
	eventStarted  = events.Define(2311, hclog.Info, "gateway node started")
	eventStopping = events.Define(2312, hclog.Info, "gateway node stopping")
	eventStopped  = events.Define(2313, hclog.Info, "gateway node stopped")
)

const bootIDBytes = 8

// Run runs a node until ctx ends, then shuts it down within the grace time. The settings
// were loaded from file, which is read again on SIGHUP and when it changes.
func Run(ctx context.Context, file string, s *config.Settings, logger hclog.Logger) error {
	// Registered first, because an unhandled SIGHUP terminates the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if limit := s.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	random := make([]byte, bootIDBytes)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	identity := kernel.Identity{
		Node:   topo.NodeID(s.Node),
		Boot:   topo.BootID(hex.EncodeToString(random)),
		Zone:   topo.Zone(s.Zone),
		Region: topo.Region(s.Region),
	}
	logger = logger.With("node", s.Node)
	eventStarting.Log(logger, "boot", identity.Boot, "zone", s.Zone)
	runtime := kernel.NewRuntime(kernel.NewContext(identity, logger))
	live := config.NewLive(file, s, logger)
	if err := kernel.Provide(runtime.Context(), live); err != nil {
		return err
	}
	ids := []kernel.ModuleID{kernel.ModuleID("gatewaydriver." + s.Driver.Name), "gateway.site", "gateway.front"}
	if err := runtime.Load(ids...); err != nil {
		return err
	}
	if err := runtime.Start(ctx); err != nil {
		return err
	}
	go live.Run(ctx, reload)
	eventStarted.Log(logger)
	<-ctx.Done()
	return shutdown(context.WithoutCancel(ctx), runtime, live.Settings(), logger)
}

func shutdown(ctx context.Context, runtime *kernel.Runtime, s *config.Settings, logger hclog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, s.Timing.Grace)
	defer cancel()
	eventStopping.Log(logger)
	drainErr := runtime.Drain(ctx)
	stopErr := runtime.Stop(ctx)
	eventStopped.Log(logger)
	if drainErr != nil {
		return drainErr
	}
	return stopErr
}
