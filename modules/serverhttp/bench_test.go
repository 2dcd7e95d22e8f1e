package serverhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// BenchmarkAttempt compares, over loopback, an attempt on a pooled connection,
// one on a new connection, and a plain net/http request without this driver.
func BenchmarkAttempt(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(serverapi.HeaderRequestID, r.Header.Get(serverapi.HeaderRequestID))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	target := backend.Target{ID: "s1", Address: listener.Addr().String()}
	driver := NewDriver(Options{Share: func(backend.Target) int { return 8 }}, nil)
	b.Cleanup(driver.Close)
	for _, idempotent := range []bool{true, false} {
		b.Run(fmt.Sprintf("driver/pooled=%v", idempotent), func(b *testing.B) {
			for b.Loop() {
				req := testRequest(http.MethodGet, "/records/k", "")
				req.Idempotent = idempotent
				response, err := driver.Do(b.Context(), target, req)
				if err != nil {
					b.Fatal(err)
				}
				drain(b, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	b.Run("net/http alone", func(b *testing.B) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for b.Loop() {
			request, _ := http.NewRequest(http.MethodGet, "http://"+target.Address+"/serve/records/k", nil)
			response, err := transport.RoundTrip(request)
			if err != nil {
				b.Fatal(err)
			}
			drain(b, response.Body)
			_ = response.Body.Close()
		}
	})
}

func drain(b *testing.B, body io.Reader) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		b.Fatal(err)
	}
}
