// Package bodies reads the bodies of requests into memory, within a bound over all requests of a process. It decides which
// body is read on and which one ends when the memory is taken. Times are passed as arguments.
//
// It handles this load pattern: many callers that send large bodies at once, stop before the end and stay connected, or
// announce more than they send. Bytes count as they arrive, so that an announcement takes nothing. A small part of the memory
// is for the beginnings of bodies, so that large bodies cannot keep small ones out.
package bodies

import (
	"errors"
	"io"
	"time"
)

const (
	// firstSegment and maxSegment are the sizes of the first and of the largest segment of a body, in bytes. Segments double
	// in between: small bodies take little, and large ones are not copied as they grow.
	firstSegment = 4 << 10
	maxSegment   = 64 << 10
)

// Body is a body in segments. It is not changed once it has been read, so that several sends can share it.
type Body [][]byte

// Of returns a body of one segment.
func Of(text []byte) Body {
	if len(text) == 0 {
		return nil
	}
	return Body{text}
}

// Len returns the length in bytes.
func (b Body) Len() int {
	length := 0
	for _, segment := range b {
		length += len(segment)
	}
	return length
}

// TooLongError reports a body that is longer than the limit.
type TooLongError struct{ Limit int64 } // bytes

// Error implements error.
func (e *TooLongError) Error() string { return "body too long" }

// Read reads a body to its end. announced is its length if it is stated, and negative otherwise; limit is the longest body
// that is allowed. The error is a *TooLongError, a *FullError, an *EvictedError or one of the source. What was read counts
// until the account is released.
func Read(source io.Reader, account *Account, announced, limit int64) (Body, error) {
	if announced > limit {
		return nil, &TooLongError{Limit: limit}
	}
	body, err := readSegments(source, account, announced, limit)
	if err != nil {
		account.memory.recycle(body)
		return nil, err
	}
	return body, nil
}

// readSegments returns what has been read, also with an error.
func readSegments(source io.Reader, account *Account, announced, limit int64) (Body, error) {
	var body Body
	var length int64
	size := int64(firstSegment)
	for {
		if announced > length {
			size = min(size, announced-length)
		}
		if err := account.grow(size, time.Now()); err != nil {
			return body, err
		}
		segment, err := fill(source, account.memory.segment(size), account)
		length += int64(len(segment))
		body = append(body, segment)
		switch {
		case length > limit:
			return body, &TooLongError{Limit: limit}
		case errors.Is(err, io.EOF):
			return body, account.complete()
		case err != nil:
			return body, account.causeOf(err)
		}
		size = min(size*2, maxSegment)
	}
}

// fill reads until a segment is full or the source ends.
func fill(source io.Reader, segment []byte, account *Account) ([]byte, error) {
	for len(segment) < cap(segment) {
		n, err := source.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		account.received(int64(n))
		if err != nil {
			return segment, err
		}
	}
	return segment, nil
}
