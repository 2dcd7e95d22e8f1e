package exchange_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/exchange"
)

// TestBodies generates lengths, limits and buffer sizes: a body is passed on
// completely or fails, is replayable exactly as long as nothing unbuffered was
// read, and never exceeds its limit.
func TestBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := bytes.Repeat([]byte("x"), rapid.IntRange(0, 40).Draw(t, "size"))
		limit := int64(rapid.IntRange(1, 40).Draw(t, "limit"))
		buffer := rapid.IntRange(0, 40).Draw(t, "buffer")
		length := int64(-1)
		if rapid.Bool().Draw(t, "declared") {
			length = int64(len(content))
		}
		body, err := exchange.NewBody(iotest.OneByteReader(bytes.NewReader(content)), length, limit, buffer)
		tooLarge := int64(len(content)) > limit
		if err != nil {
			if !tooLarge || !errors.As(err, new(*exchange.TooLargeError)) {
				t.Fatalf("refused: %v", err)
			}
			return
		}
		if body == nil {
			if len(content) != 0 {
				t.Fatal("content was lost")
			}
			return
		}
		for round := range 3 {
			replayable := body.Replayable()
			reader, err := body.Open()
			if replayable != (err == nil) {
				t.Fatalf("round %d: replayable %v, open: %v", round, replayable, err)
			}
			if err != nil {
				return
			}
			got, err := io.ReadAll(reader)
			switch {
			case tooLarge && err == nil:
				t.Fatalf("%d bytes passed a limit of %d", len(got), limit)
			case !tooLarge && (err != nil || !bytes.Equal(got, content)):
				t.Fatalf("round %d: %q, %v", round, got, err)
			}
			buffered := len(content) <= buffer && (length < 0 || len(content) > 0)
			if body.Replayable() != buffered && !tooLarge {
				t.Fatalf("replayable %v after %d bytes with a buffer of %d", body.Replayable(), len(content), buffer)
			}
		}
	})
}

func TestEarlierReaderFailsAfterReopen(t *testing.T) {
	g := gomega.NewWithT(t)
	body, err := exchange.NewBody(strings.NewReader("hello"), 5, 100, 10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first, _ := body.Open()
	_, err = first.Read(make([]byte, 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, _ := body.Open()
	_, err = first.Read(make([]byte, 2))
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&exchange.ReplacedError{}))
	g.Expect(io.ReadAll(second)).To(gomega.Equal([]byte("hello")))
}

func TestUnreadableCallerBody(t *testing.T) {
	g := gomega.NewWithT(t)
	source := io.MultiReader(strings.NewReader("abcdef"), iotest.ErrReader(io.ErrUnexpectedEOF))
	body, err := exchange.NewBody(source, -1, 100, 4)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reader, _ := body.Open()
	_, err = io.ReadAll(reader)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(body.Failure()).To(gomega.BeAssignableToTypeOf(&exchange.UnreadableError{}))
	g.Expect(body.Replayable()).To(gomega.BeFalse())
}

func TestDeclaredLengthIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := exchange.NewBody(strings.NewReader("abc"), 5, 100, 10)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&exchange.UnreadableError{}))
	body, err := exchange.NewBody(strings.NewReader("abc"), 5, 100, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reader, _ := body.Open()
	_, err = io.ReadAll(reader)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&exchange.UnreadableError{}))
}
