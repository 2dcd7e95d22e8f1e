package router

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
)

// readAheadBytes is how much of an answer is read before the caller receives any
// of it. A shorter answer is passed on completely or not at all.
const readAheadBytes = 32 << 10

// refusal returns an answer that this node produces itself, without a server.
func refusal(v outcome.Verdict) *exchange.Answer {
	return &exchange.Answer{
		Status:     v.Status(),
		Outcome:    v.Outcome,
		Reason:     v.Reason,
		RetryAfter: v.RetryAfter,
	}
}

// answerBody is the body of a server's answer: its first part, which is read
// ahead, and the rest. It checks that the body has the declared length, and
// calls done once when the body has ended.
type answerBody struct {
	first  []byte
	rest   io.ReadCloser
	ended  error // how rest ended; nil while it is readable
	length int64 // declared length; -1 if none was declared
	copied int64

	once sync.Once
	done func(whole bool)
}

// openBody reads the first part. An error means that the answer is incomplete;
// the body is then closed. Done is called exactly once, when the body ends or is
// closed, unless openBody returns an error.
func openBody(method string, header http.Header, rest io.ReadCloser, done func(whole bool)) (*answerBody, error) {
	body := &answerBody{rest: rest, length: -1, done: done}
	if method != http.MethodHead {
		body.length = declaredLength(header)
	}
	if err := body.readFirst(); err != nil {
		_ = rest.Close()
		return nil, err
	}
	return body, nil
}

func declaredLength(header http.Header) int64 {
	length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return -1
	}
	return length
}

// readFirst reads all of a short answer with a declared length, and a single
// chunk of any other answer.
func (b *answerBody) readFirst() error {
	buffer := make([]byte, b.firstSize())
	for {
		count, err := b.rest.Read(buffer[len(b.first):])
		b.first = buffer[:len(b.first)+count]
		if errors.Is(err, io.EOF) {
			b.ended = io.EOF
			return b.checkLength(int64(len(b.first)))
		}
		if err != nil {
			return err
		}
		if b.length >= 0 && int64(len(b.first)) > b.length {
			return b.checkLength(int64(len(b.first)))
		}
		if b.length < 0 && count > 0 || len(b.first) == len(buffer) {
			return nil
		}
	}
}

// firstSize leaves room for one byte more than the declared length, so that
// readFirst reaches the end of the body.
func (b *answerBody) firstSize() int64 {
	if b.length >= 0 && b.length < readAheadBytes {
		return b.length + 1
	}
	return readAheadBytes
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		count := copy(p, b.first)
		b.first = b.first[count:]
		b.copied += int64(count)
		return count, nil
	}
	if b.ended != nil {
		return 0, b.end()
	}
	count, err := b.rest.Read(p)
	b.copied += int64(count)
	b.ended = b.checkEnd(err)
	if b.ended != nil {
		return count, b.end()
	}
	return count, nil
}

// checkEnd returns how the body ended, or nil if it has not ended.
func (b *answerBody) checkEnd(err error) error {
	tooLong := b.length >= 0 && b.copied > b.length
	if tooLong || errors.Is(err, io.EOF) {
		if mismatch := b.checkLength(b.copied); mismatch != nil {
			return mismatch
		}
	}
	return err
}

// end closes the server's answer, so that its connection is free before the slot
// is granted to another request.
func (b *answerBody) end() error {
	_ = b.rest.Close()
	b.finish(errors.Is(b.ended, io.EOF))
	return b.ended
}

func (b *answerBody) checkLength(got int64) error {
	if b.length >= 0 && got != b.length {
		return &LengthError{Declared: b.length, Got: got}
	}
	return nil
}

// Close implements io.Closer. A body that is closed before its end is treated as
// complete when the declared length has been passed on.
func (b *answerBody) Close() error {
	err := b.rest.Close()
	b.finish(errors.Is(b.ended, io.EOF) || b.length >= 0 && b.copied == b.length)
	return err
}

func (b *answerBody) finish(whole bool) { b.once.Do(func() { b.done(whole) }) }

// LengthError reports an answer whose body length differs from the declared length.
type LengthError struct {
	Declared int64
	Got      int64
}

// Error implements error.
func (e *LengthError) Error() string { return "answer body does not match its declared length" }
