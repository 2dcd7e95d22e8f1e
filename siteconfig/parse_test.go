package siteconfig_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/topo"
)

var _ = ginkgo.Describe("site configuration", func() {
	ginkgo.It("defaults", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		parsed, problems := siteconfig.Parse([]byte(site("", `, "dependsOn": ["a"]`)), "c")
		g.Expect(problems).To(gomega.BeEmpty())
		g.Expect(parsed.GroupsPerZone).To(gomega.Equal(2))
		g.Expect(parsed.TrustVMList).To(gomega.BeFalse())
		g.Expect(*parsed.Services["b"]).To(gomega.Equal(siteconfig.Service{
			Name:                  "b",
			DependsOn:             []topo.Service{"a"},
			Keyed:                 true,
			Shards:                128,
			ConcurrencyPerServer:  4,
			ConnectionsPerServer:  100,
			ChecksFencing:         true,
			IdempotentMethods:     map[string]bool{"GET": true, "HEAD": true},
			Deadline:              5 * time.Second,
			MaxDisconnected:       10 * time.Minute,
			Weighting:             siteconfig.WeightUnavailability,
			MaxBodyBytes:          1 << 20,
			RequireIdempotencyKey: true,
		}))
	})

	ginkgo.It("values are read as written", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		text := site(`, "maxDisconnected": "0s", "weighting": "imbalance"`, `, "maxDisconnected": "forever", "idempotentMethods": []`,
			`"lostZones": ["z2"], "groupsPerZone": 3, "trustVMList": true`)
		parsed, problems := siteconfig.Parse([]byte(text), "c")
		g.Expect(problems).To(gomega.BeEmpty())
		g.Expect(parsed.Services["a"].MaxDisconnected).To(gomega.BeZero())
		g.Expect(parsed.Services["a"].Weighting).To(gomega.Equal(siteconfig.WeightImbalance))
		g.Expect(parsed.Services["b"].MaxDisconnected).To(gomega.Equal(siteconfig.Forever))
		g.Expect(parsed.Services["b"].Idempotent("GET")).To(gomega.BeFalse())
		g.Expect(parsed.LostZones).To(gomega.HaveKey(topo.Zone("z2")))
		g.Expect(parsed.GroupsPerZone).To(gomega.Equal(3))
		g.Expect(parsed.TrustVMList).To(gomega.BeTrue())
	})

	ginkgo.DescribeTable("invalid sites",
		func(text string, want []string) {
			g := gomega.NewWithT(ginkgo.GinkgoTB())
			_, problems := siteconfig.Parse([]byte(text), "c")
			g.Expect(problems).To(gomega.HaveLen(len(want)), "%v", problems)
			for i := range want {
				g.Expect(problems[i].Error()).To(gomega.HavePrefix(want[i]))
			}
		},
		ginkgo.Entry("no services", "{\n}", []string{"c:1: services: missing"}),
		ginkgo.Entry("empty services", "{\n\"services\": {}}", []string{"c:2: services: must hold at least one service"}),
		ginkgo.Entry("all required fields at once", "{\"services\": {\n\"a\": {}}}", []string{
			"c:2: services.a.keyed: missing", "c:2: services.a.concurrencyPerServer: missing",
			"c:2: services.a.connectionsPerServer: missing", "c:2: services.a.checksFencing: missing",
		}),
		ginkgo.Entry("service of a wrong type", "{\"services\": {\n\"a\": 4}}", []string{"c:2: services.a: must be an object, not a number"}),
		ginkgo.Entry("bad name", strings.Replace(site("", ""), `"a"`, `"A/x"`, 1), []string{"c:2: services.A/x: a service's name is"}),
		ginkgo.Entry("unknown dependency", site(`, "dependsOn": ["x"]`, ""), []string{"c:2: services.a.dependsOn[0]: no service is called x"}),
		ginkgo.Entry("itself", site(`, "dependsOn": ["a"]`, ""), []string{"c:2: services.a.dependsOn: dependency cycle: a → a"}),
		ginkgo.Entry("cycle", site(`, "dependsOn": ["b"]`, `, "dependsOn": ["a"]`), []string{"c:2: services.a.dependsOn: dependency cycle: a → b → a"}),
		ginkgo.Entry("repeated dependency", site("", `, "dependsOn": ["a", "a"]`), []string{"c:3: services.b.dependsOn[1]: given twice"}),
		ginkgo.Entry("dependency of a wrong type", site("", `, "dependsOn": [7]`), []string{"c:3: services.b.dependsOn[0]: must be a string, not a number"}),
		ginkgo.Entry("shards without keys", strings.Replace(site(`, "shards": 4`, ""), `"keyed": true`, `"keyed": false`, 1), []string{"c:2: services.a.shards: only a keyed service has shards"}),
		ginkgo.Entry("no shards", site(`, "shards": 0`, ""), []string{"c:2: services.a.shards: must be between 1 and 131072, not 0"}),
		ginkgo.Entry("connections below concurrency", strings.Replace(site("", ""), `"connectionsPerServer": 100`, `"connectionsPerServer": 3`, 1), []string{"c:2: services.a.connectionsPerServer: connectionsPerServer must be at least concurrencyPerServer = 4"}),
		ginkgo.Entry("takeover without need", site(`, "acceptUnfencedTakeover": true`, ""), []string{"c:2: services.a.acceptUnfencedTakeover: has no meaning"}),
		ginkgo.Entry("lower-case method", site(`, "idempotentMethods": ["get"]`, ""), []string{"c:2: services.a.idempotentMethods[0]: must be one of GET, HEAD"}),
		ginkgo.Entry("deadline without unit", site(`, "deadline": "5"`, ""), []string{"c:2: services.a.deadline: must be a duration"}),
		ginkgo.Entry("maxDisconnected", site(`, "maxDisconnected": "never"`, `, "maxDisconnected": 4`), []string{
			"c:2: services.a.maxDisconnected: must be a duration", "c:3: services.b.maxDisconnected: must be a duration",
		}),
		ginkgo.Entry("weighting", site(`, "weighting": "speed"`, ""), []string{`c:2: services.a.weighting: must be one of unavailability, imbalance, not "speed"`}),
		ginkgo.Entry("typing error", site(`, "deadlin": "5s"`, ""), []string{"c:2: services.a.deadlin: unknown field"}),
		ginkgo.Entry("top level", site("", "", `"lostZones": ["z", "z"],`, `"groupsPerZone": 0,`, `"trustVmList": true`), []string{
			"c:5: lostZones[1]: given twice", "c:6: groupsPerZone: must be between 1 and 64, not 0", "c:7: trustVmList: unknown field",
		}),
	)

	ginkgo.It("the mapping of keys to shards is fixed while a service exists", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		base, problems := siteconfig.Parse([]byte(site("", "")), "c")
		g.Expect(problems).To(gomega.BeEmpty())
		_, problems = siteconfig.ParseChange([]byte(site(`, "shards": 64`, `, "deadline": "1s"`)), "c", base)
		g.Expect(problems).To(gomega.HaveLen(1))
		g.Expect(problems[0].Error()).To(gomega.HavePrefix("c:2: services.a.shards: cannot change from 128"))
		unkeyed := strings.Replace(site("", ""), `"keyed": true`, `"keyed": false`, 1)
		_, problems = siteconfig.ParseChange([]byte(unkeyed), "c", base)
		g.Expect(problems).To(gomega.HaveLen(1))
		g.Expect(problems[0].Field).To(gomega.Equal("services.a.keyed"))
		renamed := strings.Replace(site(`, "shards": 64`, ""), `"a"`, `"a2"`, 1)
		_, problems = siteconfig.ParseChange([]byte(renamed), "c", base)
		g.Expect(problems).To(gomega.BeEmpty())
	})
})

const minimal = `"keyed": true, "concurrencyPerServer": 4, "connectionsPerServer": 100, "checksFencing": true`

func TestSpecs(t *testing.T) { spectest.Run(t, "siteconfig") }

// site returns a site configuration with service "a" on line 2 and service "b" on
// line 3, to which the fields a and b are added, and with the top-level lines of
// more from line 5 on.
func site(a, b string, more ...string) string {
	return "{\"services\": {\n\"a\": {" + minimal + a + "},\n\"b\": {" + minimal + b + "}\n}," + strings.Join(append([]string{""}, more...), "\n") + "\n}"
}

// FuzzParse checks that Parse panics on no text, that the line of each problem is
// in the text, and that the start order of a site without problems respects every
// dependency.
func FuzzParse(f *testing.F) {
	f.Add([]byte(site("", `, "dependsOn": ["a"]`)))
	f.Add([]byte(site(`, "dependsOn": ["b"]`, `, "dependsOn": ["a"]`)))
	f.Add([]byte("{\"services\": {\"\": [], \"\\u0000\": {\"dependsOn\": [\"\", null]}}, \"lostZones\": 1e400}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, problems := siteconfig.Parse(text, "c")
		lines := 1 + strings.Count(string(text), "\n")
		for _, problem := range problems {
			if problem.Text == "" || problem.Line > lines {
				t.Fatalf("problem without text, or with a line outside the input: %+v", problem)
			}
		}
		if len(problems) == 0 {
			checkStartOrder(t, parsed)
		}
	})
}
