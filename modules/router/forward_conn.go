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

// sentConn counts the bytes that are written to it, below any TLS.
type sentConn struct {
	net.Conn
	written atomic.Int64 // bytes that may have been sent
}

// Write implements net.Conn. The bytes are counted before they are written,
// because a failed write may have sent them.
func (c *sentConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// sentConnOf returns the sentConn below a connection, or nil.
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
// uses no TLS. It uses HTTP/1.1, where a connection carries one request at a
// time, so that a stalled connection delays only one request, and an answer
// cannot be mistaken for the answer to another request.
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

// Dial opens a connection to another node. A process whose nodes are not
// connected by TCP provides its own.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// dialTLS opens connections with the certificates that are current at that time.
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
