// Package traffic counts the bytes that a node exchanges with backend servers and with
// other nodes, by whether the peer is in the node's zone. A site may pay for bytes between
// zones. Bytes of protocols below TCP are not counted.
package traffic

import (
	"expvar"
	"io"
	"net"

	"github.com/burdockspindle/burdockspindle/metrics"
)

var counters = metrics.New("gateway_bytes").Map("by_peer_zone_and_direction")

// Peer is the kind of the remote side of a connection.
type Peer string

// The peers of a node.
const (
	Servers Peer = "servers"
	Nodes   Peer = "nodes"
)

// Meter counts the bytes of connections to one kind of peer, either within the zone, across
// zones or with an unknown zone.
type Meter struct {
	name           string
	sent, received *expvar.Int
}

// Between returns the meter of connections between a node and a peer in the given zones; a
// zone is empty if it is unknown. It is called once per connection, so that reads and
// writes need no lookup by name.
func Between(peer Peer, ownZone, peerZone string) Meter {
	name := string(peer) + " other zones"
	switch {
	case ownZone == "" || peerZone == "":
		name = string(peer) + " zone not known"
	case ownZone == peerZone:
		name = string(peer) + " own zone"
	}
	return Meter{name: name, sent: counter(name + " sent"), received: counter(name + " received")}
}

// counter returns the counter with the given name.
func counter(name string) *expvar.Int {
	counters.Add(name, 0) // creates the counter on first use
	count, _ := counters.Get(name).(*expvar.Int)
	return count
}

// Sent adds n written bytes.
func (m Meter) Sent(n int) { m.sent.Add(int64(n)) }

// Received adds n read bytes.
func (m Meter) Received(n int) { m.received.Add(int64(n)) }

// Bytes returns the counted bytes.
func (m Meter) Bytes() (sent, received int64) { return m.sent.Value(), m.received.Value() }

// Reader returns a reader that counts the bytes read from r.
func (m Meter) Reader(r io.Reader) io.Reader { return &reader{r, m} }

type reader struct {
	io.Reader
	meter Meter
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.meter.Received(n)
	return n, err
}

// Conn returns a connection that counts the bytes of c.
func (m Meter) Conn(c net.Conn) net.Conn { return &conn{Conn: c, counted: m.Reader(c), meter: m} }

type conn struct {
	net.Conn
	counted io.Reader
	meter   Meter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.counted.Read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent(n)
	return n, err
}
