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
type Meter struct {
	name           string
	sent, received *expvar.Int
}

// Between returns the meter of connections between a node in a zone and a peer in
// another or the same one; a zone may be empty if it is not known. It is made once
// for a connection, so that no name is looked up for each read and write.
func Between(peer Peer, own, other string) Meter {
	name := string(peer) + " other zones"
	switch {
	case own == "" || other == "":
		name = string(peer) + " zone not known"
	case own == other:
		name = string(peer) + " own zone"
	}
	return Meter{name: name, sent: counter(name + " sent"), received: counter(name + " received")}
}

// counter returns the counter of a name.
func counter(name string) *expvar.Int {
	counters.Add(name, 0) // makes it, if it is the first use
	count, _ := counters.Get(name).(*expvar.Int)
	return count
}

// Sent counts bytes that were written.
func (m Meter) Sent(n int) { m.sent.Add(int64(n)) }

// Received counts bytes that were read.
func (m Meter) Received(n int) { m.received.Add(int64(n)) }

// Bytes returns what has been counted.
func (m Meter) Bytes() (sent, received int64) { return m.sent.Value(), m.received.Value() }

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
