package proof_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	publishers       = 4
	publications     = 12
	publishTimeout   = 2 * time.Second // after this time the outcome of a publication is unknown
	textComment      = "// %s, attempt %d\n"
	appendFaultEvery = 100 * time.Millisecond
)

// publisher publishes through one node, always based on the version that the node has
// in force, in competition with the other publishers.
type publisher struct {
	r        *run
	name     string
	source   state.Source
	appender follower.Appender
	random   *rand.Rand
}

func newPublisher(r *run, index int) *publisher {
	g := gomega.NewWithT(r.t)
	through := r.Nodes[index%len(r.Nodes)].Context()
	source, err := kernel.Use[state.Source](through)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	appender, err := kernel.Use[follower.Appender](through)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return &publisher{
		r: r, name: fmt.Sprintf("publisher-%d", index), source: source, appender: appender,
		random: rand.New(rand.NewPCG(seed, uint64(index))),
	}
}

func (p *publisher) run(ctx context.Context) {
	for number := range publications {
		p.publish(ctx, number)
		pause(ctx, time.Duration(p.random.IntN(int(appendFaultEvery))))
	}
}

func (p *publisher) publish(ctx context.Context, number int) {
	text := fmt.Appendf(nil, textComment, p.name, number)
	text = append(text, smallSite().Text...)
	site, problems := siteconfig.Parse(text, p.name)
	gomega.NewWithT(p.r.t).Expect(problems).To(gomega.BeEmpty())
	base := p.source.View().SiteVersion()
	event := history.SitePublished{Began: p.r.Clock(), Publisher: p.name, Base: base, Digest: server.DigestOf(text)}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	outcome, err := p.appender.Submit(ctx, &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base: base, Text: text, Compiled: siteconfig.ToProto(site),
	}}})
	event.At = p.r.Clock()
	switch {
	case err == nil && outcome.Accepted:
		event.Accepted, event.Version = true, base+1
	case err != nil:
		if notAppended(err) {
			return // nothing was published
		}
		event.Unknown = true
	}
	p.r.Memory.Record(event)
}

// notAppended reports whether err proves that nothing was published.
func notAppended(err error) bool {
	var proven *follower.NotAppendedError
	return errors.As(err, &proven)
}

// Publications must behave as compare-and-set operations on one
// register, also when the log's answers are lost, and no node may revert to an older version.
func TestCompetingPublishers(t *testing.T) {
	for name, faults := range map[string]logfault.Faults{
		"healthy log":           {},
		"lost answers":          {LoseAnswers: 1},
		"lost requests":         {LoseRequests: 1},
		"late appends":          {LateAppends: 1, LateBy: 200 * time.Millisecond},
		"log away now and then": {AppendsDown: true, ReadsDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, r := startRun(t, smallSite())
			publishWithFaults(ctx, r, faults)
			nodes := r.WaitSettled(ctx)
			r.Stop()
			g := gomega.NewWithT(t)
			events := r.Memory.Events()
			g.Expect(histcheck.SiteVersions(events)).To(gomega.BeEmpty())
			g.Expect(histcheck.LinearizableSite(events, 0, searchLimit)).To(gomega.Equal(histcheck.Linearizable))
			g.Expect(acceptedVersions(events)).To(gomega.BeNumerically(">", 1))
			g.Expect(nodes.Nodes).To(gomega.HaveLen(len(r.Nodes)))
		})
	}
}

// publishWithFaults runs the competing publishers while faults are injected and healed repeatedly.
func publishWithFaults(ctx context.Context, r *run, faults logfault.Faults) {
	publishing, done := context.WithCancel(ctx)
	var wait, faulty sync.WaitGroup
	for i := range publishers {
		one := newPublisher(r, i)
		wait.Go(func() { one.run(ctx) })
	}
	faulty.Go(func() {
		for publishing.Err() == nil {
			r.Log.Set(faults)
			pause(publishing, appendFaultEvery)
			r.Log.Heal()
			pause(publishing, appendFaultEvery)
		}
	})
	wait.Wait()
	done()
	faulty.Wait()
	r.Log.Heal()
	r.Log.Settle()
}

func acceptedVersions(events []history.Event) int {
	count := 0
	for _, event := range history.Select[history.SitePublished](events) {
		if event.Accepted {
			count++
		}
	}
	return count
}
