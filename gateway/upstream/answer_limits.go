package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Limits on answers. An answer may come without end.
const (
	// maxHeadBytes bounds the head of an answer, with its status line and all informational answers before it.
	maxHeadBytes = 64 << 10
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 32
	// maxAnswerBytes bounds the body of an answer, which is kept in memory.
	maxAnswerBytes = 16 << 20
	// maxFramingBytes bounds what comes with a body beside its bytes: the lengths and extensions of its chunks,
	// and its trailers. Chunks of one byte would take the processor for seconds.
	maxFramingBytes = 1 << 20
	// defaultAnswerMemory bounds the bodies of all answers that a process holds at once.
	defaultAnswerMemory = 256 << 20
)

// TooLongError reports a part of an answer that is longer than the limit.
type TooLongError struct {
	Part  string // "head", "body", "framing" or "informational answers"
	Limit int64  // in bytes, or answers
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s of the answer: more than %d", e.Part, e.Limit)
}

// boundedReader reads a connection up to a number of bytes for each part of an answer.
type boundedReader struct {
	source io.Reader
	part   string
	limit  int64 // bytes
	left   int64 // bytes
}

// Read implements io.Reader. At the limit it returns a *TooLongError.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &TooLongError{Part: r.part, Limit: r.limit}
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// begin sets the limit of the next part.
func (r *boundedReader) begin(part string, limit int64) { r.part, r.limit, r.left = part, limit, limit }

// AnswerMemory bounds the bodies of answers that a node holds at once, of servers and of other nodes. It is safe
// for concurrent use.
type AnswerMemory struct {
	limit int64 // bytes
	held  atomic.Int64
}

// NewAnswerMemory returns a bound in bytes.
func NewAnswerMemory(limit int64) *AnswerMemory { return &AnswerMemory{limit: limit} }

// Held returns the bytes that are held now.
func (m *AnswerMemory) Held() int64 { return m.held.Load() }

// AnswerMemoryError reports an answer that is not read further, because the node holds too many bytes of answers.
type AnswerMemoryError struct{ Limit int64 }

// Error implements error.
func (e *AnswerMemoryError) Error() string {
	return fmt.Sprintf("this node holds more than %d bytes of answers", e.Limit)
}

// SetAnswerMemory sets the bound on the answers that are held, which clients may share. It must be called before
// the client is used.
func (c *Client) SetAnswerMemory(memory *AnswerMemory) { c.memory = memory }

// Hold returns what a request to be sent holds of the client's memory for answers.
func (c *Client) Hold() *Held { return &Held{memory: c.memory} }

// Held is the memory that the answers to one request hold. It is safe for concurrent use.
type Held struct {
	memory *AnswerMemory

	mu         sync.Mutex
	bytes      int64
	isReleased bool
}

// Release gives the memory back. Answers that are still being read hold none from now on: their request has ended.
func (h *Held) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory.held.Add(-h.bytes)
	h.bytes, h.isReleased = 0, true
}

// add takes bytes. The error is an *AnswerMemoryError.
func (h *Held) add(bytes int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isReleased {
		return nil
	}
	h.bytes += bytes
	if h.memory.held.Add(bytes) > h.memory.limit {
		return &AnswerMemoryError{Limit: h.memory.limit}
	}
	return nil
}

// bodyReader reads a body. It counts its bytes as held, and not as framing.
type bodyReader struct {
	body     io.Reader
	incoming *boundedReader
	held     *Held
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.incoming.left += int64(n)
	if heldErr := r.held.add(int64(n)); heldErr != nil {
		return n, heldErr
	}
	return n, err
}

// readBody reads the body of an answer.
func readBody(cn *conn, body io.Reader, held *Held) ([]byte, error) {
	cn.incoming.begin("framing", maxFramingBytes)
	text, err := io.ReadAll(io.LimitReader(&bodyReader{body: body, incoming: cn.incoming, held: held}, maxAnswerBytes+1))
	if err == nil && len(text) > maxAnswerBytes {
		return nil, &TooLongError{Part: "body", Limit: maxAnswerBytes}
	}
	return text, err
}

// endsWithConnection reports whether the end of the connection ends the body of an answer.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// noteUnusable counts an answer that is too long or not valid, and logs the first of a server.
func (c *Client) noteUnusable(server site.ServerID, err error) {
	var tooLong *TooLongError
	if errors.As(err, &tooLong) {
		tooLongCount.Add(1)
		c.tooLong.note(eventTooLong, server, err.Error())
	}
	var invalid *InvalidAnswerError
	if errors.As(err, &invalid) {
		c.noteInvalid(server, invalid)
	}
}
