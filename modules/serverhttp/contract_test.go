package serverhttp

import (
	"testing"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/backend/backendtest"
	"github.com/burdockspindle/burdockspindle/spectest"
)

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/serverhttp") }

var _ = backendtest.Describe("servers.http", func(t testing.TB, options backendtest.Options) backend.Driver {
	driver := NewDriver(Options{
		ConnectTimeout:      options.ConnectTimeout,
		StallTimeout:        options.StallTimeout,
		ControlStallTimeout: options.ControlStallTimeout,
		ExpectProgress:      true,
		Share:               func(backend.Target) int { return options.Connections },
	}, nil)
	t.Cleanup(driver.Close)
	return driver
})
