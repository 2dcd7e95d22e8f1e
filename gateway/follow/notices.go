package follow

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// fromServer is the source of what this node read in an answer of the server itself.
const fromServer = "server"

// ObserveNotices returns a function that applies what answers say of their servers. It is called for each
// answer, and nearly always finds nothing new.
func ObserveNotices(state *view.State, logger hclog.Logger) func(site.ServerID, site.Notice) {
	return func(server site.ServerID, notice site.Notice) {
		now := state.Now()
		if limit := notice.Limit; limit != nil && now.NeedsLimit(server, *limit) {
			mergeLimits(state, logger, map[site.ServerID]site.NamedLimit{server: *limit}, fromServer)
		}
		if notice.IsLeaving && !now.Leaving.Contains(server) {
			mergeLeaving(state, logger, []view.LeavingServer{{Server: server, At: time.Now(), From: fromServer}})
		}
	}
}
