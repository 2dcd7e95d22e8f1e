// Package upstream sends requests to backend servers over HTTP/1.1. An answer
// is read whole before it is used, and a connection is thrown away whenever
// there is a doubt about which request the next bytes on it belong to.
package upstream

import "github.com/burdockspindle/burdockspindle/gateway/site"

// Headers are the names of the headers that a deployment uses.
type Headers struct {
	RequestID      string // names one request; servers echo it
	Timeout        string // milliseconds that the caller still waits
	ExpectedServer string // name of the server that alone may run the request
	Key            string // key of a request to a keyed service
	NotRun         string // present if the server has not run the request
	Load           string // the server's load
	// ParseLoad reads the value of Load.
	ParseLoad func(string) (site.Load, bool)
}
