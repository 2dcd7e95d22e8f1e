package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// start runs a follower until the test ends.
func start(t *testing.T, config follower.Config) *follower.Follower {
	t.Helper()
	if config.Boot == "" {
		config.Boot = "b1"
	}
	f := follower.New(config)
	f.Start()
	t.Cleanup(f.Stop)
	return f
}

func node(name string, log platlog.Log) follower.Config {
	return follower.Config{Node: topo.NodeID(name), Log: log}
}

func within(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func join(name string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: name, Boot: "b1", Zone: "zone-a",
	}}}
}

func TestSubmitIsVisibleWhenItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := memlog.New(memlog.Retention{})
		a := start(t, node("a", log))
		b := start(t, node("b", log))
		fate, err := a.Submit(within(t, time.Second), join("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(fate).To(gomega.Equal(follower.Fate{Offset: 1, Accepted: true}))
		_, exists := a.View().Node("a")
		g.Expect(exists).To(gomega.BeTrue())
		g.Expect(b.WaitApplied(within(t, time.Second), fate.Offset)).To(gomega.Succeed())
		_, exists = b.View().Node("a")
		g.Expect(exists).To(gomega.BeTrue())
	})
}

func TestContactIsNeverOlderThanAPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := start(t, node("a", memlog.New(memlog.Retention{})))
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(37 * time.Millisecond)
			g.Expect(time.Since(f.LastContact())).To(gomega.BeNumerically("<=", 2*follower.DefaultPollWait))
		}
	})
}
