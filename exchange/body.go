package exchange

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// Body is a request body that can be sent repeatedly as long as nothing beyond
// its buffered prefix was read. All methods may be called
// concurrently: an abandoned attempt may still be reading while the next one
// starts.
type Body struct {
	length int64 // -1 when not known
	limit  int64

	mu         sync.Mutex
	prefix     []byte
	rest       io.Reader // nil when prefix is the whole body
	consumed   bool      // a read from rest was started
	current    *bodyReader
	firstError error // first error from rest, other than io.EOF
}

// NewBody returns a body of a declared length (-1 when not known) that may have
// at most limit bytes. It reads up to buffer bytes ahead if the declared length
// fits into the buffer or is not known. It returns nil for an empty body. Errors
// are *TooLargeError and *UnreadableError.
func NewBody(source io.Reader, length, limit int64, buffer int) (*Body, error) {
	if length > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	if source == nil || length == 0 {
		return nil, nil
	}
	body := &Body{length: length, limit: limit, rest: source}
	if length > int64(buffer) {
		return body, nil
	}
	if err := body.readAhead(source, buffer); err != nil {
		return nil, err
	}
	if body.length == 0 {
		return nil, nil
	}
	return body, nil
}

func (b *Body) readAhead(source io.Reader, buffer int) error {
	var ahead bytes.Buffer
	count, err := io.Copy(&ahead, io.LimitReader(source, int64(buffer)+1))
	if err != nil {
		return &UnreadableError{Cause: err}
	}
	b.prefix = ahead.Bytes()
	if count > b.limit {
		return &TooLargeError{Limit: b.limit}
	}
	if count > int64(buffer) {
		return nil
	}
	if b.length >= 0 && count != b.length {
		return &UnreadableError{Cause: io.ErrUnexpectedEOF}
	}
	b.length = count
	b.rest = nil
	return nil
}

// Length returns the number of bytes, or -1 when not known.
func (b *Body) Length() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Replayable reports whether the body can be sent, or sent again, from its
// beginning.
func (b *Body) Replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

// Failure returns the error because of which the caller's body could not be
// passed on, a *TooLargeError or *UnreadableError; nil if there was none.
func (b *Body) Failure() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstError
}

// Open returns a reader of the whole body. Readers returned earlier fail with
// *ReplacedError from then on. The reader is nil when there is no body, and the
// error is a *ConsumedError when the body is no longer replayable.
func (b *Body) Open() (io.Reader, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return nil, &ConsumedError{}
	}
	b.current = &bodyReader{body: b}
	return b.current, nil
}

type bodyReader struct {
	body   *Body
	offset int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	count, fromRest, err := r.readPrefix(p)
	if !fromRest {
		return count, err
	}
	count, err = r.body.rest.Read(p)
	r.offset += int64(count)
	return count, r.body.checkRead(r.offset, err)
}

// readPrefix reads from the buffered prefix. After the prefix it marks the body
// as consumed and returns fromRest true, so that the caller reads from rest.
func (r *bodyReader) readPrefix(p []byte) (count int, fromRest bool, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return 0, false, &ReplacedError{}
	}
	if r.offset < int64(len(b.prefix)) {
		count = copy(p, b.prefix[r.offset:])
		r.offset += int64(count)
		return count, false, nil
	}
	if b.rest == nil {
		return 0, false, io.EOF
	}
	b.consumed = true
	return 0, true, nil
}

func (b *Body) checkRead(total int64, err error) error {
	switch {
	case total > b.limit:
		err = &TooLargeError{Limit: b.limit}
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && (b.length < 0 || total == b.length):
		return io.EOF
	case errors.Is(err, io.EOF):
		err = &UnreadableError{Cause: io.ErrUnexpectedEOF}
	default:
		err = &UnreadableError{Cause: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.firstError == nil {
		b.firstError = err
	}
	return err
}

// TooLargeError reports a body that exceeds the limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return "request body is larger than its limit" }

// UnreadableError reports that the caller's body could not be read completely.
type UnreadableError struct{ Cause error }

// Error implements error.
func (e *UnreadableError) Error() string { return "request body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// ConsumedError reports a body that cannot be sent again.
type ConsumedError struct{}

// Error implements error.
func (e *ConsumedError) Error() string { return "request body was already passed on" }

// ReplacedError reports a read by an abandoned attempt.
type ReplacedError struct{}

// Error implements error.
func (e *ReplacedError) Error() string { return "request body belongs to a later attempt" }
