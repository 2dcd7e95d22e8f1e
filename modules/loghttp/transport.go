package loghttp

import (
	"net"
	"net/http"
	"time"
)

// newTransport returns a transport without proxies or HTTP/2: each call has a
// connection of its own, so that a silent one affects nothing else.
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
