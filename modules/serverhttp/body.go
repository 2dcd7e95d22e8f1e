package serverhttp

import (
	"io"
	"sync"
)

// requestBody hands the caller's body to the transport. It is never NoBody and
// cannot be read again, so that net/http never resends a request: it does so,
// without asking, for requests without a body and for those with an
// Idempotency-Key whose body can be read again.
type requestBody struct {
	inner    io.Reader // nil for an empty body
	progress *progress
}

// Read implements io.Reader. While it waits for the caller's bytes, the server
// is not judged.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.inner == nil {
		return 0, io.EOF
	}
	b.progress.hold()
	defer b.progress.release()
	return b.inner.Read(p)
}

// Close implements io.Closer.
func (*requestBody) Close() error { return nil }

// answerBody is an answer's body. An error from Read means that the answer is
// not whole.
type answerBody struct {
	inner   io.ReadCloser
	attempt *attempt
	done    func() // gives back what the attempt holds
	once    sync.Once
	err     error // sticky, so that a failed answer never looks whole later
}

// Read implements io.Reader. The server is judged only while bytes are wanted.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.attempt.progress.release()
	n, err := b.inner.Read(p)
	b.attempt.progress.hold()
	switch {
	case err == io.EOF:
		b.err = io.EOF
	case err != nil:
		metricTruncated.Add(1)
		b.err = b.attempt.failure(err)
	}
	return n, b.err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	var err error
	b.once.Do(func() {
		err = b.inner.Close()
		b.done()
	})
	return err
}
