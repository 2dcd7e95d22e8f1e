package server

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/build/docblocks"
)

const page = "../../docs/SERVERS.md"

// message is one block of the page: a first line, headers and a body.
type message struct {
	first  string
	header map[string]string
	body   string
}

func readMessage(text string) message {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	m := message{first: lines[0], header: map[string]string{}, body: strings.TrimSpace(body)}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		m.header[name] = value
	}
	return m
}

// TestExamplesOfThePage sends the requests of docs/SERVERS.md in order, each at
// the time that its block names, and compares the answers.
func TestExamplesOfThePage(t *testing.T) {
	g := gomega.NewWithT(t)
	blocks, err := docblocks.Read(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := newTestServer(t, Config{})
	compared := 0
	for i, block := range blocks {
		if block.Kind != "http" || block.Tag == "response" {
			continue
		}
		moment, err := time.ParseDuration(strings.TrimPrefix(block.Tag, "request "))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "line %d", block.Line)
		s.clock.Store(int64(moment))
		request, want := readMessage(block.Text), readMessage(blocks[i+1].Text)
		method, path, _ := strings.Cut(request.first, " ")
		got := s.call(method, path, request.header, []byte(request.body))

		g.Expect(strconv.Itoa(got.Code)).To(gomega.Equal(want.first), "line %d: %s", block.Line, got.Body)
		for name, value := range want.header {
			g.Expect(got.Header().Get(name)).To(gomega.Equal(value), "line %d: %s", block.Line, name)
		}
		if want.body != "" {
			g.Expect(got.Body.String()).To(gomega.MatchJSON(want.body), "line %d", block.Line)
		}
		compared++
	}
	g.Expect(compared).To(gomega.BeNumerically(">=", 7))
	g.Expect(s.Stats().Ran).To(gomega.Equal(uint64(1)), "the ticket ran once")
}
