package siteconfig_test

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var _ = ginkgo.Describe("compiled form", func() {
	ginkgo.It("conversion preserves every field", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		site := &siteconfig.Site{
			Services: map[topo.Service]*siteconfig.Service{
				"licensing": {
					Name: "licensing", DependsOn: []topo.Service{"wells"}, Keyed: true, Shards: 64,
					ConcurrencyPerServer: 4, ConnectionsPerServer: 100, ChecksFencing: true,
					IdempotentMethods: map[string]bool{"GET": true, "HEAD": true},
					Deadline:          1500 * time.Millisecond, MaxDisconnected: siteconfig.Forever,
					Weighting: siteconfig.WeightImbalance, MaxBodyBytes: 1 << 20,
					AcceptUnfencedTakeover: true, RequireIdempotencyKey: true,
				},
				"wells": {
					Name: "wells", IdempotentMethods: map[string]bool{}, MaxDisconnected: 30 * time.Second,
					Weighting: siteconfig.WeightUnavailability,
				},
			},
			LostZones:     map[topo.Zone]bool{"zone-b": true, "zone-a": true},
			GroupsPerZone: 2,
			TrustVMList:   true,
		}
		encoded := siteconfig.ToProto(site)
		g.Expect(proto.Equal(encoded, siteconfig.ToProto(site))).To(gomega.BeTrue(), "equal sites have equal encodings")
		decoded, err := siteconfig.FromProto(encoded)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decoded).To(gomega.Equal(site))
	})

	ginkgo.DescribeTable("invalid compiled forms are rejected",
		func(message *bspb.SiteConfig) {
			_, err := siteconfig.FromProto(message)
			var convert *siteconfig.ConvertError
			gomega.NewWithT(ginkgo.GinkgoTB()).Expect(errors.As(err, &convert)).To(gomega.BeTrue(), "%v", err)
		},
		ginkgo.Entry("missing", nil),
		ginkgo.Entry("no name", &bspb.SiteConfig{Services: []*bspb.ServiceConfig{{}}}),
		ginkgo.Entry("no shards", &bspb.SiteConfig{Services: []*bspb.ServiceConfig{{Name: "a", Keyed: true}}}),
		ginkgo.Entry("listed twice", &bspb.SiteConfig{Services: []*bspb.ServiceConfig{{Name: "a"}, {Name: "a"}}}),
	)

	ginkgo.It("forever is the longest disconnected time", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		g.Expect(siteconfig.LongerDisconnected(time.Second, time.Minute)).To(gomega.Equal(time.Minute))
		g.Expect(siteconfig.LongerDisconnected(siteconfig.Forever, time.Minute)).To(gomega.Equal(siteconfig.Forever))
		g.Expect(siteconfig.LongerDisconnected(0, siteconfig.Forever)).To(gomega.Equal(siteconfig.Forever))
	})
})
