// Package socket reports what the kernel knows of a connection: received bytes that have
// not been read, and sent bytes that the peer has not acknowledged.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a read of a connection would return now.
type State uint8

// States of a connection.
const (
	Idle     State = iota // no bytes received
	Readable              // bytes received
	Ended                 // closed or reset by the peer, or closed locally
)

// Peek returns the state of a connection without consuming bytes. Another goroutine may be
// blocked in a read of the connection. A connection that is not a socket is treated as
// idle.
func Peek(conn net.Conn) State {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Uses Control because Read would wait for a goroutine that is blocked in a read.
	err = rawConn.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Ended
	}
	return state
}

func peek(fd int) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return Readable
	case errors.Is(err, syscall.EAGAIN):
		return Idle
	}
	return Ended
}

// tcpClosed is the state of a TCP connection that has been reset. One that the peer has closed waits for the close of this end.
const tcpClosed = 7

// IsReset reports whether the peer has reset a connection that is open locally. It is false if that is not known.
func IsReset(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	isReset := false
	err = rawConn.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = infoErr == nil && info.State == tcpClosed
	})
	return err == nil && isReset
}

// Unacknowledged returns the number of bytes written to a connection that the peer has not
// acknowledged. known is false if the connection is not a socket or is closed locally.
func Unacknowledged(conn net.Conn) (bytes int, known bool) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var ioctlErr error
	err = rawConn.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return bytes, err == nil && ioctlErr == nil
}
