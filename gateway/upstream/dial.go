package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel detects stalled connections: it closes a connection whose bytes remain
// unacknowledged for stallTimeout, and probes idle connections.
const (
	stallTimeout = 4 * time.Second
	// ControlStallTimeout is the stall timeout of connections for control calls. It also
	// applies after the process has terminated: the lessor accounts for grants that may
	// arrive late for at least as long.
	ControlStallTimeout = 3 * time.Second
	// keepAliveIdle is short enough for two probes before stallTimeout, which also ends an idle
	// connection: with one, a lost packet would end it.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dialer returns a dialer for connections that may stall without a reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setStallTimeout(raw, stallTimeout)
		},
	}
}

// setStallTimeout makes the kernel close a connection whose bytes remain unacknowledged for
// a timeout.
func setStallTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// setControlStallTimeout sets the stall timeout of a connection for control calls. It has no
// effect on a connection that is not a socket.
func setControlStallTimeout(conn net.Conn) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setStallTimeout(raw, ControlStallTimeout)
}

// reset closes a connection with a TCP reset, which discards unsent bytes, so that an
// abandoned request does not arrive later.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // on failure, Close closes without a reset
	}
	_ = conn.Close() // the connection is abandoned in any case
}
