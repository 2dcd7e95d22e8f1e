package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// relay forwards TCP connections to a target and can stall them: they stay open,
// but no more bytes pass in either direction.
type relay struct {
	listener net.Listener
	target   string
	stallNew atomic.Bool // new connections are stalled from the start
	opened   atomic.Int64

	mu    sync.Mutex
	muted []*atomic.Bool // one for each connection
	conns []net.Conn
}

func newRelay(t testing.TB, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{listener: listener, target: target}
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.opened.Add(1)
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		muted := &atomic.Bool{}
		muted.Store(r.stallNew.Load())
		r.mu.Lock()
		r.muted = append(r.muted, muted)
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go copyConn(in, out, muted)
		go copyConn(out, in, muted)
	}
}

// copyConn copies from one connection to the other until either ends; while
// muted is set it discards the bytes that it reads.
func copyConn(from, to net.Conn, muted *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if muted.Load() {
			if err != nil {
				return // the other side gets no close
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// stall stalls all open connections permanently.
func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, muted := range r.muted {
		muted.Store(true)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
