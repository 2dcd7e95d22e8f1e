package upstream

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	eventInvalidLoad = events.Define(2206, hclog.Warn, "load report of a server is not understood")

	invalidLoadCount = metrics.New("gateway_servers").Counter("invalid_load_reports")
)

// maxInvalidLoadLines bounds the servers whose invalid load reports are logged.
const maxInvalidLoadLines = 20

// invalidLoads counts load reports that cannot be parsed, and logs the first one of each server:
// without load reports, limits and the choice of servers work blindly.
type invalidLoads struct {
	logger hclog.Logger // nil: nothing is logged

	mu      sync.Mutex
	servers map[site.ServerID]bool // whose reports have been logged
}

func (l *invalidLoads) note(server site.ServerID, text string) {
	invalidLoadCount.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logger == nil || l.servers[server] || len(l.servers) >= maxInvalidLoadLines {
		return
	}
	if l.servers == nil {
		l.servers = map[site.ServerID]bool{}
	}
	l.servers[server] = true
	eventInvalidLoad.Log(l.logger, "server", server, "report", text)
}

// SetLogger sets the logger of the client. It must be called before the client is used.
func (c *Client) SetLogger(logger hclog.Logger) { c.invalidLoads.logger = logger }
