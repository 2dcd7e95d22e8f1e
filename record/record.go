// Package record encodes and decodes the entries of the log: one protobuf
// envelope per entry, with a format version. It does no I/O.
package record

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Format is the highest envelope format that this release writes and reads.
const Format = 1

// MaxBytes is the largest encoded record, in bytes.
const MaxBytes = 1 << 20

// writerSeparator separates node and boot in a writer name.
const writerSeparator = "@"

// NewerFormatError reports an entry written by a newer release. Readers skip the
// entry.
type NewerFormatError struct{ Format uint32 }

// Error implements error.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("record: format %d is newer than %d", e.Format, Format)
}

// DecodeError reports an entry that is not a valid record. Readers skip the entry.
type DecodeError struct {
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Cause == nil {
		return "record: " + e.Problem
	}
	return "record: " + e.Problem + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// SizeError reports a record that is too large to append.
type SizeError struct{ Bytes int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("record: %d bytes, at most %d allowed", e.Bytes, MaxBytes)
}

// Encode returns the deterministic encoding of a record. It fails with a
// *SizeError, and with a *DecodeError or a *NewerFormatError if the record could
// not be decoded again.
func Encode(rec *bspb.Record) ([]byte, error) {
	if err := check(rec); err != nil {
		return nil, err
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(rec)
	if err != nil {
		return nil, &DecodeError{Problem: "cannot encode", Cause: err}
	}
	if len(data) > MaxBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return data, nil
}

// Decode decodes an entry. It fails with a *NewerFormatError or a *DecodeError;
// readers skip the entry in both cases.
func Decode(data []byte) (*bspb.Record, error) {
	rec := &bspb.Record{}
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, &DecodeError{Problem: "malformed", Cause: err}
	}
	if rec.GetFormat() > Format {
		return nil, &NewerFormatError{Format: rec.GetFormat()}
	}
	if err := check(rec); err != nil {
		return nil, err
	}
	return rec, nil
}

func check(rec *bspb.Record) error {
	switch {
	case rec.GetFormat() == 0:
		return &DecodeError{Problem: "no format"}
	case rec.GetFormat() > Format:
		return &NewerFormatError{Format: rec.GetFormat()}
	case rec.GetWriter() == "":
		return &DecodeError{Problem: "no writer"}
	case rec.GetSequence() == 0:
		return &DecodeError{Problem: "no sequence"}
	case rec.GetBody() == nil:
		return &DecodeError{Problem: "no known body"}
	}
	return nil
}

// Writer returns the writer name of one incarnation of a node.
func Writer(node topo.NodeID, boot topo.BootID) string {
	return string(node) + writerSeparator + string(boot)
}

// ParseWriter splits a writer name at its last separator. It returns false if the
// name is invalid.
func ParseWriter(writer string) (topo.NodeID, topo.BootID, bool) {
	at := strings.LastIndex(writer, writerSeparator)
	if at <= 0 || at == len(writer)-1 {
		return "", "", false
	}
	return topo.NodeID(writer[:at]), topo.BootID(writer[at+1:]), true
}
