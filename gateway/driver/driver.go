// Package driver defines what a platform adapter provides to a gateway.
package driver

import (
	"context"
	"net"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Driver is a platform adapter.
type Driver struct {
	Store   store.Store
	Codec   view.Codec
	Headers upstream.Headers
	// Granter returns the client for calls to keyed servers.
	Granter func(*upstream.Client) ranges.Granter
	// Dial opens connections to servers. It must bound its own time; nil: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
