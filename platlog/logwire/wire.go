// Package logwire is the wire format of the platform's log service: JSON over
// HTTP, as docs/LOG-PROTOCOL.md describes it. The module log.http and the
// stand-in service share it.
package logwire

import "github.com/burdockspindle/burdockspindle/topo"

// Paths and parameters.
const (
	// PathPrefix is followed by the stream's name and PathRecords.
	PathPrefix  = "/v1/streams/"
	PathRecords = "/records"

	ParamFrom = "from"    // first offset wanted
	ParamMax  = "max"     // most records to return
	ParamWait = "wait_ms" // how long to hold the read open at the end
)

// Bounds of messages, in bytes.
const (
	MaxRecordBytes = 2 << 20
	MaxAnswerBytes = 32 << 20
)

// Code says why a request was refused.
type Code string

// Codes.
const (
	CodeUnavailable Code = "unavailable"
	CodeRateLimited Code = "rate_limited"
	CodeTruncated   Code = "truncated" // the offset is older than the retention limit
	CodeInvalid     Code = "invalid"
	CodeTooLarge    Code = "too_large"
)

// AppendRequest asks for a record to be appended.
type AppendRequest struct {
	Data []byte `json:"data"` // base64 in JSON
}

// AppendResponse says where the record was appended.
type AppendResponse struct {
	Offset topo.Offset `json:"offset"`
}

// Record is one record at its offset.
type Record struct {
	Offset topo.Offset `json:"offset"`
	Data   []byte      `json:"data"` // base64 in JSON
}

// ReadResponse is the answer to a read.
type ReadResponse struct {
	Records []Record    `json:"records"`
	First   topo.Offset `json:"first"` // lowest offset retained
	End     topo.Offset `json:"end"`   // offset of the next append
}

// ErrorResponse refuses a request. Only an answer whose Appended is present
// and false proves that an append had no effect.
type ErrorResponse struct {
	Code     Code        `json:"code"`
	Message  string      `json:"message"`
	Appended *bool       `json:"appended,omitempty"`
	First    topo.Offset `json:"first,omitempty"` // with CodeTruncated
}
