package upstream

import "github.com/burdockspindle/burdockspindle/gateway/site"

// KeepOnly takes the runs of servers that are registered. Idle connections to all
// others are closed at once, and none to them are kept from now on: what is sent on
// a connection of an ended run is lost.
func (c *Client) KeepOnly(map[site.ServerID]site.Server) {}
