package follower_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	core "github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/modules/follower"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func TestModuleProvidesAndRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx := kernel.NewContext(kernel.Identity{Node: "a", Boot: "b1", Zone: "zone-a"}, nil)
		module, err := kernel.New(follower.ID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var missing *kernel.MissingServiceError
		g.Expect(errors.As(module.(kernel.Provisioner).Provision(ctx), &missing)).To(gomega.BeTrue())

		network := peermem.New(1)
		defer network.Close()
		handlers := &peer.Handlers{}
		config := &settings.Settings{Timing: settings.Timing{LeaseTTL: time.Second, CheckpointEvery: 10, LogRelays: 3}}
		g.Expect(kernel.Provide[platlog.Log](ctx, memlog.New(memlog.Retention{}))).To(gomega.Succeed())
		g.Expect(kernel.Provide(ctx, config)).To(gomega.Succeed())
		g.Expect(kernel.Provide(ctx, handlers)).To(gomega.Succeed())
		g.Expect(kernel.Provide[peer.Caller](ctx, network.Join(&bspb.Sender{Node: "a"}, handlers))).To(gomega.Succeed())
		g.Expect(module.(kernel.Provisioner).Provision(ctx)).To(gomega.Succeed())
		g.Expect(handlers.ReadLog).NotTo(gomega.BeNil())
		g.Expect(handlers.Snapshot).NotTo(gomega.BeNil())

		g.Expect(module.(kernel.Starter).Start(t.Context())).To(gomega.Succeed())
		appender, err := kernel.Use[core.Appender](ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		source, err := kernel.Use[state.Source](ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		contact, err := kernel.Use[core.Contact](ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())

		join := &bspb.JoinNode{Node: "a", Boot: "b1", Zone: "zone-a"}
		outcome, err := appender.Submit(t.Context(), &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: join}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		synctest.Wait() // the reader records its contact after the outcome is known
		g.Expect(source.View().Applied()).To(gomega.Equal(outcome.Offset))
		g.Expect(contact.LastContact().IsZero()).To(gomega.BeFalse())
		g.Expect(module.(kernel.Dumper).Dump().(core.Dump).Writer).To(gomega.Equal("a@b1"))
		g.Expect(module.(kernel.Dumper).Dump().(core.Dump).Relays).To(gomega.Equal([]string{"a"}))
		g.Expect(module.(kernel.Stopper).Stop(t.Context())).To(gomega.Succeed())
	})
}
