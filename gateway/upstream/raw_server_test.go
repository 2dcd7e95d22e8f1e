package upstream

import (
	"net"
	"testing"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// serveRaw returns a server that hands each connection to a function, until the test ends.
func serveRaw(t *testing.T, answer func(conn *net.TCPConn)) site.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn.(*net.TCPConn))
		}
	}()
	return site.Server{ID: "i", Address: listener.Addr().String()}
}
