package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Connections that go silent are detected by the kernel: unacknowledged bytes
// end a connection after silentAfter, and idle ones are probed.
const (
	stallTimeout = 4 * time.Second
	// ControlSilentAfter is the same for connections of the gateway's own calls, also after
	// the process has ended: grants that arrive late are counted for as long.
	ControlSilentAfter = 3 * time.Second
	keepAliveIdle      = 5 * time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 3
)

// Dialer returns a dialer for connections that may go silent without a reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setStallTimeout(raw, stallTimeout)
		},
	}
}

// setStallTimeout has the kernel end a connection whose bytes are not acknowledged for a time.
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

// setControlStallTimeout sets the silence after which the kernel ends a connection of the gateway's
// own calls. A connection that is no socket has no such bound.
func setControlStallTimeout(conn net.Conn) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setStallTimeout(raw, ControlSilentAfter)
}

// reset closes a connection so that bytes that are still on their way are
// dropped: what was given up must not arrive later.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close below is an ordinary one
	}
	_ = conn.Close() // nothing is left to be done with it
}
