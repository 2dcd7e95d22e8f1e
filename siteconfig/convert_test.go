package siteconfig_test

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func TestConversionKeepsEverything(t *testing.T) {
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
	g.Expect(proto.Equal(encoded, siteconfig.ToProto(site))).To(gomega.BeTrue(), "equal sites, equal messages")
	decoded, err := siteconfig.FromProto(encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(site))
}

func TestCompiledFormsThatAreRefused(t *testing.T) {
	cases := map[string]*bspb.SiteConfig{
		"missing":      nil,
		"no name":      {Services: []*bspb.ServiceConfig{{}}},
		"no shards":    {Services: []*bspb.ServiceConfig{{Name: "a", Keyed: true}}},
		"listed twice": {Services: []*bspb.ServiceConfig{{Name: "a"}, {Name: "a"}}},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := siteconfig.FromProto(message)
			var convert *siteconfig.ConvertError
			if !errors.As(err, &convert) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestLongerDisconnected(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(siteconfig.LongerDisconnected(time.Second, time.Minute)).To(gomega.Equal(time.Minute))
	g.Expect(siteconfig.LongerDisconnected(siteconfig.Forever, time.Minute)).To(gomega.Equal(siteconfig.Forever))
	g.Expect(siteconfig.LongerDisconnected(0, siteconfig.Forever)).To(gomega.Equal(siteconfig.Forever))
}
