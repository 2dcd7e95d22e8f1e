package upstream

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	eventInvalidLoad    = events.Define(2206, hclog.Warn, "load report of a server is not understood")
	eventInvalidLimit   = events.Define(2207, hclog.Warn, "limit that a server names is not understood")
	eventInvalidLeaving = events.Define(2208, hclog.Warn, "answer does not say clearly that its server leaves")
	eventInvalidRest    = events.Define(2209, hclog.Warn, "rest that a server asks for is not understood")
	eventRest           = events.Define(2210, hclog.Info, "server asks this node for a rest")
	eventTooLong        = events.Define(2211, hclog.Warn, "answer of a server is too long")
	eventInvalidAnswer  = events.Define(2214, hclog.Warn, "answer of a server is not valid")

	group               = metrics.New("gateway_servers")
	invalidLoadCount    = group.Counter("invalid_load_reports")
	invalidLimitCount   = group.Counter("invalid_limits")
	invalidLeavingCount = group.Counter("invalid_leaving")
	invalidRestCount    = group.Counter("invalid_rests")
	restCount           = group.Counter("rests")
	tooLongCount        = group.Counter("too_long_answers")
	invalidAnswerCount  = group.Counter("invalid_answers")
	restedSendCount     = group.Counter("requests_held_back_for_rest")
)

// maxInvalidLines bounds the servers whose invalid reports of one kind are logged.
const maxInvalidLines = 20

// invalidReports logs the first header of each server that cannot be parsed: without load reports,
// limits and the choice of servers work blindly.
type invalidReports struct {
	logger hclog.Logger // nil: nothing is logged

	mu      sync.Mutex
	servers map[site.ServerID]bool // whose reports have been logged
}

func (r *invalidReports) note(event events.Event, server site.ServerID, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logger == nil || r.servers[server] || len(r.servers) >= maxInvalidLines {
		return
	}
	if r.servers == nil {
		r.servers = map[site.ServerID]bool{}
	}
	r.servers[server] = true
	event.Log(r.logger, "server", server, "report", text)
}

// SetLogger sets the logger of the client. It must be called before the client is used.
func (c *Client) SetLogger(logger hclog.Logger) {
	c.logger = logger
	for _, reports := range []*invalidReports{&c.invalidLoads, &c.invalidLimits, &c.invalidLeaving, &c.invalidRests, &c.tooLong, &c.invalidAnswers} {
		reports.logger = logger
	}
}
