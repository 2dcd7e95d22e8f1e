// Package driver is what an adapter to a platform provides to a gateway.
package driver

import (
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Driver is an adapter to a platform.
type Driver struct {
	Store   store.Store
	Codec   view.Codec
	Headers upstream.Headers
	// Granter returns the calls to keyed servers.
	Granter func(*upstream.Client) ranges.Granter
}
