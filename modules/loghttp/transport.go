package loghttp

import (
	"net"
	"net/http"
	"time"
)

// newTransport returns a transport without proxies or HTTP/2. With HTTP/1 each call
// has a connection of its own, so that a stalled connection affects no other call.
func newTransport(connectTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: connectTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
		Protocols:           protocols,
	}
}
