// Package logwire defines the wire format of the platform's log service: JSON
// over HTTP, as described in docs/LOG-PROTOCOL.md. The module log.http and the
// stand-in service share it.
package logwire

import "github.com/burdockspindle/burdockspindle/topo"

// Paths and parameters.
const (
	// PathPrefix is followed by the stream's name and PathRecords.
	PathPrefix  = "/v1/streams/"
	PathRecords = "/records"

	ParamFrom = "from"    // first offset to read
	ParamMax  = "max"     // maximum number of records
	ParamWait = "wait_ms" // maximum time that a read at the end waits for a record
)

// Size limits of messages, in bytes.
const (
	MaxRecordBytes = 2 << 20
	MaxAnswerBytes = 32 << 20
)

// Code is the reason why a request was refused.
type Code string

// Codes.
const (
	CodeUnavailable Code = "unavailable"
	CodeRateLimited Code = "rate_limited"
	CodeTruncated   Code = "truncated" // the offset is older than the retention limit
	CodeInvalid     Code = "invalid"
	CodeTooLarge    Code = "too_large"
)

// AppendRequest requests that a record be appended.
type AppendRequest struct {
	Data []byte `json:"data"` // base64 in JSON
}

// AppendResponse returns the offset of the appended record.
type AppendResponse struct {
	Offset topo.Offset `json:"offset"`
}

// Record is one record at its offset.
type Record struct {
	Offset topo.Offset `json:"offset"`
	Data   []byte      `json:"data"` // base64 in JSON
}

// ReadResponse is the response to a read.
type ReadResponse struct {
	Records []Record    `json:"records"`
	First   topo.Offset `json:"first"` // lowest offset retained
	End     topo.Offset `json:"end"`   // offset of the next append
}

// ErrorResponse refuses a request. Only a response whose Appended is present and
// false proves that an append had no effect.
type ErrorResponse struct {
	Code     Code        `json:"code"`
	Message  string      `json:"message"`
	Appended *bool       `json:"appended,omitempty"`
	First    topo.Offset `json:"first,omitempty"` // with CodeTruncated
}
