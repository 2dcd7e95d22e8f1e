package upstream

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// RetainServers sets the incarnations of servers that are registered. Idle connections to all
// others are closed at once, and none are kept from now on, because a request sent on a
// connection to a terminated incarnation is lost. Idle connections for requests to servers that are
// about to end are closed too. Requests in flight are not affected.
func (c *Client) RetainServers(servers map[site.ServerID]site.Server) {
	registered := make(map[site.ServerID]bool, len(servers))
	closing := map[site.ServerID]bool{}
	for id, server := range servers {
		registered[id] = true
		if server.WillEnd() {
			closing[id] = true
		}
	}
	c.idle.retain(registered, closing)
	c.rests.prune(time.Now())
	c.pending.retain(registered)
}
