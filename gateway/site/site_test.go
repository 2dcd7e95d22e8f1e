package site_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

func route(name, host, prefix string) site.Route {
	return site.Route{Name: name, Host: host, Prefix: prefix, Targets: []site.Target{{Service: "s", Weight: 1}}}
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	config := (&site.Config{Routes: []site.Route{
		route("root", "a", "/"), route("long", "a", "/x/y/"), route("short", "a", "/x/"), route("other", "b", "/x/"),
	}}).Index()
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "long"},
		{"a:8080", "/x/z", "short"},
		{"a", "/z", "root"},
		{"a", "/x/y", "short"},
		{"b", "/x/y/z", "other"},
		{"b", "/z", ""},
		{"c", "/x/", ""},
	} {
		found := config.Match(c.host, c.path)
		name := ""
		if found != nil {
			name = found.Name
		}
		gomega.NewWithT(t).Expect(name).To(gomega.Equal(c.want), "%s %s", c.host, c.path)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	r := site.Route{Targets: []site.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[site.ServiceName]int{}
	for range 10000 {
		counts[r.Pick(random)]++
	}
	g.Expect(counts["a"]).To(gomega.BeNumerically("~", 9000, 200))
	g.Expect(counts["c"]).To(gomega.BeZero())
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	valid := func() *site.Config {
		return &site.Config{Services: map[site.ServiceName]site.Service{"s": {Name: "s"}}, Routes: []site.Route{route("r", "h", "/x/")}}
	}
	gomega.NewWithT(t).Expect(valid().Check()).To(gomega.Succeed())
	for name, invalidate := range map[string]func(*site.Route){
		"prefix without a slash": func(r *site.Route) { r.Prefix = "/x" },
		"no service":             func(r *site.Route) { r.Targets = nil },
		"unknown service":        func(r *site.Route) { r.Targets[0].Service = "t" },
		"no weight":              func(r *site.Route) { r.Targets[0].Weight = 0 },
		"negative weight":        func(r *site.Route) { r.Targets[0].Weight = -1 },
		"negative time":          func(r *site.Route) { r.Timeout = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			config := valid()
			invalidate(&config.Routes[0])
			gomega.NewWithT(t).Expect(config.Check()).NotTo(gomega.Succeed())
		})
	}
}
