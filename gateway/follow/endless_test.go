package follow

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/answertest"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

const (
	// endlessTimeout is how long an answer without end may be read.
	endlessTimeout = 20 * time.Second
	// maxEndlessAlloc is the memory that three of them may cost, in bytes.
	maxEndlessAlloc = 512 << 20
)

// Guards against a node that reads an answer of another node without end until its memory is used up.
func TestAnswersOfNodesWithoutEndAreCutOff(t *testing.T) {
	for name, answer := range map[string]struct{ begin, next string }{
		"lines of a head":       {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"one line of a head":    {"HTTP/1.1 200 OK\r\nName: ", "x"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"a body":                {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", "x"},
		"the body of an error":  {"HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address := answertest.ServeEndless(t, answer.begin, answer.next)
			f := newLeavingFollower("follower")
			f.Reports = NewReports()
			f.Feed = NewFeed(f.Self, f.State, new(Contact), func() bool { return false })
			f.client = &http.Client{Transport: f.newTransport()}
			f.clients = map[string]bspbconnect.GatewayClient{}
			f.knownFollowers = map[string]uint64{}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := f.follow(ctx, address, 0)
			g.Expect(err).To(gomega.HaveOccurred())
			_, err = f.RequestGrants(ctx, ranges.Lessor{Node: "n", Boot: "b", Address: address}, 1)
			g.Expect(err).To(gomega.HaveOccurred())
			f.sendUrgent(ctx, f.client, address, Report{})
			runtime.ReadMemStats(&after)
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the answers are cut off")
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(gomega.BeNumerically("<", maxEndlessAlloc), "bytes allocated")
		})
	}
}
