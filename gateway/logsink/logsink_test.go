package logsink_test

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/logsink"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	sink := logsink.New(&out)
	for _, line := range []string{"one\n", "two\n"} {
		_, err := io.WriteString(sink, line)
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	}
	sink.Close()
	gomega.NewWithT(t).Expect(out.String()).To(gomega.Equal("one\ntwo\n"))
}

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedOutputDropsLinesWithoutBlockingWriters(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	sink := logsink.New(out)
	var reported atomic.Int64
	sink.OnDrop(func(lines int64) { reported.Add(lines) })
	const lines = 2000
	for range lines {
		_, err := io.WriteString(sink, "line\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	dropped := sink.Dropped()
	g.Expect(dropped).To(gomega.BeNumerically(">", 1000))
	close(out.release)
	sink.Close()
	g.Expect(reported.Load() + sink.Dropped()).To(gomega.Equal(dropped))
}
