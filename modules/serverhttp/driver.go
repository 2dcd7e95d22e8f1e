// Package serverhttp is the module servers.http: the driver by which entry
// nodes reach backend servers with plain net/http.
//
// It never resends a request. A response is passed on only if it carries the ID
// of its request; in any uncertain case the connection is closed.
// docs/design/server-connections.md gives the reasons for this design.
package serverhttp

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Driver implements backend.Driver. It is safe for concurrent use.
type Driver struct {
	options Options
	logger  hclog.Logger

	mu        sync.Mutex
	endpoints map[topo.ServerID]*endpoint
}

var _ backend.Driver = (*Driver)(nil)

// NewDriver returns a driver without connections. A nil logger logs nothing.
func NewDriver(options Options, logger hclog.Logger) *Driver {
	return &Driver{
		options:   options.withDefaults(),
		logger:    logger,
		endpoints: map[topo.ServerID]*endpoint{},
	}
}

// endpoint returns the server's endpoint at its current address.
func (d *Driver) endpoint(to backend.Target) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, exists := d.endpoints[to.ID]
	if exists && known.target.Address == to.Address {
		return known
	}
	if exists {
		eventMoved.Log(d.logger, "server", to.ID, "from", known.target.Address, "to", to.Address)
		known.close()
	}
	known = newEndpoint(to, d.options)
	d.endpoints[to.ID] = known
	return known
}

// Forget implements backend.Driver.
func (d *Driver) Forget(id topo.ServerID) {
	d.mu.Lock()
	known, exists := d.endpoints[id]
	delete(d.endpoints, id)
	d.mu.Unlock()
	if exists {
		known.close()
	}
}

// Close closes all idle connections.
func (d *Driver) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, known := range d.endpoints {
		known.close()
	}
}

// EndpointDump is the state of one server's endpoint in the state dump.
type EndpointDump struct {
	Server      topo.ServerID `json:"server"`
	Address     string        `json:"address"`
	Share       int           `json:"share"`
	InUse       int           `json:"inUse"`
	Connections int           `json:"connections"`
}

// Dump describes the connections to every server.
func (d *Driver) Dump() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := make([]EndpointDump, 0, len(d.endpoints))
	for id, known := range d.endpoints {
		limit, inUse, open := known.budget.read()
		dump = append(dump, EndpointDump{Server: id, Address: known.target.Address, Share: limit, InUse: inUse, Connections: open})
	}
	return dump
}
