package answertest

import (
	"io"
	"net"
	"net/http"
)

// CutShort returns a handler that answers with a text and then ends the connection, with a reset or without.
func CutShort(text string, resets bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		if tcp, isTCP := conn.(*net.TCPConn); isTCP && resets {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
