package node

import (
	"context"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/settings"
)

// Run runs a node until ctx ends or a drain is requested, then shuts it down
// gracefully. It returns nil after a clean shutdown.
func Run(ctx context.Context, s *settings.Settings, logger hclog.Logger) error {
	if s.Limits.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(s.Limits.MemoryLimitBytes)
	}
	n, err := New(s, logger)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.DrainRequested():
	}
	return n.Shutdown(context.WithoutCancel(ctx))
}
