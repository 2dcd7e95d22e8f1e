// Package answertest makes answers and records that clients must bear: without end, cut short, and of odd values.
package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// chunkBytes is about how much is written at once, in bytes.
const chunkBytes = 64 << 10

// requestID stands for the ID of the request, from its header Request-Id.
const requestID = "%"

// ServeEndless returns the address of a server that begins its answers with a text and goes on with another one until
// the client closes the connection. A "%" in begin stands for the ID of the request. It listens until the test ends.
func ServeEndless(t *testing.T, begin, next string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go write(conn, begin, next)
		}
	}()
	return listener.Addr().String()
}

// write reads a request and answers it until the client closes the connection.
func write(conn net.Conn, begin, next string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	more := []byte(strings.Repeat(next, max(chunkBytes/len(next), 1)))
	_, err = io.WriteString(conn, strings.Replace(begin, requestID, request.Header.Get("Request-Id"), 1))
	for err == nil {
		_, err = conn.Write(more)
	}
}
