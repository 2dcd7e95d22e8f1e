// Package socket tells what the kernel knows of a connection: what has arrived that nobody
// has read yet, and what the other machine has not acknowledged.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a read of a connection would find now.
type State uint8

// States of a connection.
const (
	Quiet State = iota // nothing has arrived
	Bytes              // bytes have
	Ended              // the other side has closed or reset it, or it is closed here
)

// Look returns the state of a connection and takes nothing from it. Another
// goroutine may wait in a read of it meanwhile. A connection that is no socket
// counts as quiet.
func Look(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control, not Read, which would wait for the goroutine that reads.
	err = control.Control(func(fd uintptr) { state = peek(int(fd)) })
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
		return Bytes
	case errors.Is(err, syscall.EAGAIN):
		return Quiet
	}
	return Ended
}

// Unacknowledged returns how many bytes that were written to a connection the other
// machine has not acknowledged. known is false for a connection that is no socket or is
// closed here.
func Unacknowledged(conn net.Conn) (bytes int, known bool) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, false
	}
	var asked error
	err = control.Control(func(fd uintptr) { bytes, asked = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return bytes, err == nil && asked == nil
}
