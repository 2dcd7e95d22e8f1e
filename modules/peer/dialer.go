package peer

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
)

// Size limits of one message, in bytes.
const (
	maxMessageBytes = 8 << 20
	// compressFromBytes is the minimum size at which messages of the bulk kinds
	// are compressed. The small, frequent kinds are never compressed, because
	// that costs more than it saves.
	compressFromBytes = 4 << 10
)

// dialer opens HTTP/2 connections to peers, over TLS when it has certificates.
type dialer struct {
	traffic *traffic
	files   *tlsfiles.Loader // nil without TLS
	open    core.Dial
}

// generation returns the generation of the current certificates. It distinguishes
// connections made with earlier certificates from those made with current ones.
func (d *dialer) generation() uint64 {
	if d.files == nil {
		return 0
	}
	return d.files.Generation()
}

// dial opens one connection. An error proves that no call was sent.
func (d *dialer) dial(ctx context.Context, address string, kind core.Kind) (*peerConn, error) {
	conn := &peerConn{generation: d.generation()}
	transport := &http.Transport{
		Protocols:          new(http.Protocols),
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := d.open(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conn.socket = newSocket(raw, d.traffic.of(kind))
			return conn.socket, nil
		},
	}
	scheme := "http"
	if d.files != nil {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		scheme = "https"
		transport.TLSClientConfig = d.files.Peer(host)
		transport.Protocols.SetHTTP2(true)
	} else {
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	clientConn, err := transport.NewClientConn(ctx, scheme, address)
	if err != nil {
		return nil, err
	}
	conn.conn = clientConn
	conn.client = bspbconnect.NewPeerServiceClient(conn, scheme+"://"+address, clientOptions(kind)...)
	metricConnections.Add(string(kind), 1)
	return conn, nil
}

func clientOptions(kind core.Kind) []connect.ClientOption {
	options := []connect.ClientOption{connect.WithReadMaxBytes(maxMessageBytes)}
	if !bulk(kind) {
		options = append(options, connect.WithAcceptCompression("gzip", nil, nil))
	}
	return options
}

// bulk reports whether a kind carries large messages.
func bulk(kind core.Kind) bool { return kind == core.KindReadLog || kind == core.KindSnapshot }
