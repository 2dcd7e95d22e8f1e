package serverhttp

import (
	"net/http"
	"strings"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

const (
	headerUserAgent  = "User-Agent"
	headerConnection = "Connection"
	// protocolPrefix is the prefix of headers that only entry nodes and servers set.
	protocolPrefix = "Burdockspindle-"
)

// hopByHopHeaders concern a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// isForwarded reports whether a caller's header is forwarded to the server.
func isForwarded(name string) bool {
	canonical := http.CanonicalHeaderKey(name)
	if hopByHopHeaders[canonical] || canonical == serverapi.HeaderIdempotencyKey {
		return false
	}
	return !strings.HasPrefix(canonical, protocolPrefix)
}

// connectionTokens lists the headers that the Connection header names.
func connectionTokens(header http.Header) map[string]bool {
	tokens := map[string]bool{}
	for _, value := range header.Values(headerConnection) {
		for token := range strings.SplitSeq(value, ",") {
			if name := strings.TrimSpace(token); name != "" {
				tokens[http.CanonicalHeaderKey(name)] = true
			}
		}
	}
	return tokens
}
