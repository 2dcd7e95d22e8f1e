package follow

import (
	"net/http"

	"connectrpc.com/connect"

	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// Limits on answers of other nodes, which may come without end.
const (
	// maxMessageBytes is far above the registry, the routes and the configuration of a site with thousands of
	// servers.
	maxMessageBytes = 16 << 20
	maxHeadBytes    = 64 << 10
)

// newTransport returns a transport for calls to other nodes.
func (f *Follower) newTransport() *http.Transport {
	return &http.Transport{DialContext: f.dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
}

// newGatewayClient returns a client for calls to the node at an address.
func newGatewayClient(client *http.Client, address string) bspbconnect.GatewayClient {
	return bspbconnect.NewGatewayClient(client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}
