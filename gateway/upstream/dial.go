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
	silentAfter = 4 * time.Second
	probeIdle   = 5 * time.Second
	probeEvery  = time.Second
	probeCount  = 3
)

// Dialer returns a dialer for connections that may go silent without a reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// reset closes a connection so that bytes that are still on their way are
// dropped: what was given up must not arrive later.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close below is an ordinary one
	}
	_ = conn.Close() // nothing is left to be done with it
}
