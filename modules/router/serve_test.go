package router

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

func TestOwnerAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	site := oneNodeSite([]*siteconfig.Service{keyedService()}, "s1")
	site.AssignAll(keyedName, "s1")
	driver := newFakeDriver()
	m, _ := started(t, site, backend.Driver(driver), lessorNode)

	answer := m.Serve(context.Background(), get("well-7"))
	g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeAnswered))
	g.Expect(answer.Status).To(gomega.Equal(200))
	g.Expect(read(t, answer)).To(gomega.Equal("ok s1"))
	sent := driver.all()
	g.Expect(sent).To(gomega.HaveLen(1))
	owned, _ := site.View().Lookup(keyedName, "well-7")
	g.Expect(sent[0].req.Fence).To(gomega.Equal(owned.Fence))
	g.Expect(sent[0].req.Shard).To(gomega.Equal(owned.Shard))
	g.Expect(m.inFlight.Load()).To(gomega.BeZero())
}
