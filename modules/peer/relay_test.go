package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// relay passes TCP connections on to a target and can make them silent: open,
// but nothing goes through any more in either direction.
type relay struct {
	listener net.Listener
	target   string
	cut      atomic.Bool // connections that are opened from now on are silent
	opened   atomic.Int64

	mu    sync.Mutex
	muted []*atomic.Bool // of each connection
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
		muted.Store(r.cut.Load())
		r.mu.Lock()
		r.muted = append(r.muted, muted)
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go pass(in, out, muted)
		go pass(out, in, muted)
	}
}

// pass copies from one connection to the other until either ends; while muted
// it reads and drops.
func pass(from, to net.Conn, muted *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if muted.Load() {
			if err != nil {
				return // and the other side is never told
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

// silence makes the connections that are open now silent for good.
func (r *relay) silence() {
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
