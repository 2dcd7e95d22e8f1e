// Package upstream sends requests to backend servers over HTTP/1.1. An answer
// is read completely before it is used, and a connection is closed whenever it is
// uncertain which request the next bytes on it belong to.
package upstream

import "github.com/burdockspindle/burdockspindle/gateway/site"

// Headers are the names of the headers that a deployment uses.
type Headers struct {
	RequestID      string // ID of a request; servers echo it
	Timeout        string // remaining time of the caller in milliseconds
	ExpectedServer string // name of the only server that may run the request
	Key            string // key of a request to a keyed service
	NotRun         string // present if the server has not run the request
	Load           string // the server's load
	// ParseLoad reads the value of Load.
	ParseLoad func(string) (site.Load, bool)
	// WarmUp is how much longer the server is cold, in milliseconds; in answers to health checks.
	WarmUp string
	// Limit is the number of requests a second that the server takes from all nodes together.
	Limit string
	// Leaving is present if the server is about to end.
	Leaving string
	// Signature is present in a success that the server has made; empty: servers do not sign.
	Signature string
	// Rest is how long the server wants no requests of this node, in seconds; in answers with the status
	// 503.
	Rest string
}
