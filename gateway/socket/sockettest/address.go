// Package sockettest provides loopback addresses that tests of several programs do not share.
package sockettest

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// The ports are below the ephemeral range, so that no other socket is assigned one between its
// choice and the start of a listener, or while a listener is closed. Each test process takes ports
// from a block of its own. Otherwise a listener of another process could take the port of one that
// is closed, and respond to its callers.
const (
	firstPort  = 12000
	blockPorts = 1500
	blockCount = 12
)

// portBlock is a range of blockPorts ports.
type portBlock struct {
	first int
	lock  *os.File // locked until the process exits; nil if the block is shared
}

var (
	processBlock = sync.OnceValue(reservePortBlock)
	nextPort     atomic.Int32
)

// reservePortBlock returns a block that no other test process uses, or a shared one if all
// blocks are reserved.
func reservePortBlock() portBlock {
	for i := range blockCount {
		name := filepath.Join(os.TempDir(), fmt.Sprintf("burdockspindle-ports-%d.lock", i))
		file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			continue
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			return portBlock{first: firstPort + i*blockPorts, lock: file}
		}
		_ = file.Close() // reserved by another process
	}
	return portBlock{first: firstPort + os.Getpid()%blockCount*blockPorts}
}

// Listen returns a listener on a loopback address whose port stays unused after it is closed.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// FreeAddress returns a loopback address without a listener.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range blockPorts {
		port := processBlock().first + int(nextPort.Add(1))%blockPorts
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no free port")
	return ""
}
