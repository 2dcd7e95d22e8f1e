package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// socket counts the bytes of one TCP connection below any TLS, and records the
// time of the latest received byte.
type socket struct {
	net.Conn
	lastRead atomic.Int64 // nanoseconds since epoch
	epoch    time.Time
	// counts is nil on an accepted connection until its first request shows the
	// kind of call; earlySent and earlyReceived count the bytes until then.
	counts        atomic.Pointer[kindTraffic]
	earlySent     atomic.Int64
	earlyReceived atomic.Int64
	// verified is one more than the generation of certificates against which the
	// client's certificate was last accepted; 0 before the first request.
	verified atomic.Uint64
}

func newSocket(conn net.Conn, counts *kindTraffic) *socket {
	s := &socket{Conn: conn, epoch: time.Now()}
	s.counts.Store(counts)
	return s
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.lastRead.Store(int64(time.Since(s.epoch)))
		s.count(int64(n), &s.earlyReceived, (*kindTraffic).addReceived)
	}
	return n, err
}

// Write implements net.Conn.
func (s *socket) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if n > 0 {
		s.count(int64(n), &s.earlySent, (*kindTraffic).addSent)
	}
	return n, err
}

func (s *socket) count(n int64, early *atomic.Int64, add func(*kindTraffic, int64)) {
	if counts := s.counts.Load(); counts != nil {
		add(counts, n)
		return
	}
	early.Add(n)
}

// tag sets the kind of call that an accepted connection carries.
func (s *socket) tag(counts *kindTraffic) {
	if !s.counts.CompareAndSwap(nil, counts) {
		return
	}
	counts.addSent(s.earlySent.Swap(0))
	counts.addReceived(s.earlyReceived.Swap(0))
}

// readSince reports whether bytes arrived after the given time.
func (s *socket) readSince(moment time.Time) bool {
	return s.epoch.Add(time.Duration(s.lastRead.Load())).After(moment)
}

// countingListener wraps accepted connections in untagged sockets.
type countingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newSocket(conn, nil), nil
}

// socketOf returns the socket below a connection, or nil if there is none.
func socketOf(conn net.Conn) *socket {
	type layered interface{ NetConn() net.Conn }
	if upper, ok := conn.(layered); ok {
		conn = upper.NetConn()
	}
	found, _ := conn.(*socket)
	return found
}
