package serverhttp

import (
	"io"
	"sync"
)

// requestBody passes the caller's body to the transport. It is never NoBody and
// cannot be rewound, so that net/http never resends a request. net/http silently
// resends requests without a body, and requests with an Idempotency-Key whose
// body can be rewound.
type requestBody struct {
	inner    io.Reader // nil if the body is empty
	progress *progress
}

// Read implements io.Reader. The progress timeout of the server is suspended
// while it waits for the caller's bytes.
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

// responseBody is the body of a response. An error from Read means that the
// response is incomplete.
type responseBody struct {
	inner   io.ReadCloser
	attempt *attempt
	done    func() // releases the resources of the attempt
	once    sync.Once
	err     error // sticky, so that a failed response never looks complete later
}

// Read implements io.Reader. The progress timeout of the server runs only
// during a call of Read.
func (b *responseBody) Read(p []byte) (int, error) {
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
func (b *responseBody) Close() error {
	var err error
	b.once.Do(func() {
		err = b.inner.Close()
		b.done()
	})
	return err
}
