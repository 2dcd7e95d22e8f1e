package loghttp_test

import (
	"net"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/modules/loghttp"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
)

// countedListener counts the bytes that its connections read and write.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll reports the bytes on the wire for one read at the end of the log.
func BenchmarkPoll(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(platformlog.New(platformlog.Config{}))
	server.Listener = countedListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	base, err := url.Parse(server.URL)
	if err != nil {
		b.Fatal(err)
	}
	client := loghttp.NewClient(base, loghttp.DefaultStream, time.Second)
	defer client.Close()
	polls := 0
	for b.Loop() {
		if _, err := client.Read(b.Context(), platlog.ReadRequest{From: 1, Max: 512}); err != nil {
			b.Fatal(err)
		}
		polls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(polls), "wire-B/op")
}
