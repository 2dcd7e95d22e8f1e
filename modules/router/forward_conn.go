package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of the connections to one node.
const (
	maxIdleForwards    = 64
	idleForwardTimeout = 30 * time.Second
	maxForwardHeader   = 1 << 20
)

// sentConn tells whether anything was written to it, below any TLS.
type sentConn struct {
	net.Conn
	written atomic.Int64 // bytes that may have left
}

// Write implements net.Conn. The bytes count before they are written, since a
// failed write may have sent them.
func (c *sentConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// sentConnOf finds the sentConn under a connection, or nil.
func sentConnOf(conn net.Conn) *sentConn {
	type layered interface{ NetConn() net.Conn }
	if upper, ok := conn.(layered); ok {
		conn = upper.NetConn()
	}
	found, _ := conn.(*sentConn)
	return found
}

// clientTLS returns the configuration of one new connection to a host.
type clientTLS func(host string) *tls.Config

// newForwardTransport returns a transport to other nodes; without config it
// uses no TLS. HTTP/1.1 gives each request a connection of its own while it
// lasts, so that one silent connection delays one request, and an answer cannot
// be taken for another's.
func newForwardTransport(open Dial, connect time.Duration, config clientTLS) *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := open(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sentConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleForwards,
		IdleConnTimeout:        idleForwardTimeout,
		MaxResponseHeaderBytes: maxForwardHeader,
	}
	if config != nil {
		transport.DialTLSContext = dialTLS(transport.DialContext, connect, config)
	}
	return transport
}

// Dial opens a connection to another node. A process whose nodes are not joined
// by TCP provides its own.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// dialTLS opens a connection and takes the certificates that are in force then.
func dialTLS(open Dial, connect time.Duration, config clientTLS) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(address)
		secured := tls.Client(raw, config(host))
		ctx, cancel := context.WithTimeout(ctx, connect)
		defer cancel()
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return secured, nil
	}
}
