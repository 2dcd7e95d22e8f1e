package upstream

import "github.com/burdockspindle/burdockspindle/gateway/site"

// RetainServers sets the incarnations of servers that are registered. Idle connections to all
// others are closed at once, and none are kept from now on, because a request sent on a
// connection to a terminated incarnation is lost. Requests in flight are not affected.
func (c *Client) RetainServers(servers map[site.ServerID]site.Server) {
	registered := make(map[site.ServerID]bool, len(servers))
	for id := range servers {
		registered[id] = true
	}
	c.idle.retain(registered)
	c.pending.retain(registered)
}
