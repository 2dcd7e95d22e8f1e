// Package traffic counts the bytes that a node exchanges with backend servers and
// with other nodes, by whether they are in its own zone. Bytes between zones are
// what a site may pay for; bytes of protocols below TCP are not counted.
package traffic

import (
	"expvar"
	"io"
	"net"

	"github.com/burdockspindle/burdockspindle/metrics"
)

var counters = metrics.New("gateway_bytes").Map("by_peer_zone_and_direction")

// Peer is what is at the other end of a connection.
type Peer string

// The peers of a node.
const (
	Servers Peer = "servers"
	Nodes   Peer = "nodes"
)

// Meter counts the bytes of connections to one kind of peer in one place.
type Meter struct{ name string }

// Between returns the meter of connections between a node in a zone and a peer in
// another or the same one; a zone may be empty if it is not known.
func Between(peer Peer, own, other string) Meter {
	switch {
	case own == "" || other == "":
		return Meter{string(peer) + " zone not known"}
	case own == other:
		return Meter{string(peer) + " own zone"}
	}
	return Meter{string(peer) + " other zones"}
}

// Sent counts bytes that were written.
func (m Meter) Sent(n int) { counters.Add(m.name+" sent", int64(n)) }

// Received counts bytes that were read.
func (m Meter) Received(n int) { counters.Add(m.name+" received", int64(n)) }

// Bytes returns what has been counted, for one direction, "sent" or "received".
func (m Meter) Bytes(direction string) int64 {
	count, ok := counters.Get(m.name + " " + direction).(*expvar.Int)
	if !ok {
		return 0 // nothing yet
	}
	return count.Value()
}

// Reader returns a reader that counts what it reads.
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

// Conn returns a connection whose bytes are counted.
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
