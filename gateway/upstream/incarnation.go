package upstream

import "github.com/burdockspindle/burdockspindle/gateway/site"

// KeepOnly takes the runs of servers that are registered. Idle connections to all
// others are closed at once, and none to them are kept from now on: what is sent on
// a connection of an ended run is lost. Requests on their way are left alone.
func (c *Client) KeepOnly(servers map[site.ServerID]site.Server) {
	registered := make(map[site.ServerID]bool, len(servers))
	for id := range servers {
		registered[id] = true
	}
	c.idle.retain(registered)
	c.pending.retain(registered)
}
