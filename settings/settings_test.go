package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/spectest"
)

var _ = ginkgo.Describe("settings", func() {
	ginkgo.It("defaults", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		s, problems := settings.Parse([]byte(valid), "s.jsonc")
		g.Expect(problems).To(gomega.BeEmpty())
		g.Expect(s.Timing).To(gomega.Equal(settings.DefaultTiming()))
		g.Expect(s.Limits).To(gomega.Equal(settings.DefaultLimits()))
		g.Expect(s.LogLevel).To(gomega.Equal("info"))
		g.Expect(s.Admin.Token).To(gomega.BeEmpty())
		g.Expect(s.Log.Options).To(gomega.HaveKeyWithValue("url", "http://127.0.0.1:9000"))
		g.Expect(s.Balance.Name).To(gomega.Equal(settings.DefaultBalance))
	})

	// A line added by with is line 8 of the text.
	ginkgo.DescribeTable("invalid settings",
		func(line string, want []string) {
			g := gomega.NewWithT(ginkgo.GinkgoTB())
			_, problems := settings.Parse([]byte(with(line)), "s")
			g.Expect(problems).To(gomega.HaveLen(len(want)), "%v", problems)
			for i := range want {
				g.Expect(problems[i].Error()).To(gomega.HavePrefix(want[i]))
			}
		},
		func(line string, _ []string) string { return line },
		ginkgo.Entry(nil, `"node": ""`, []string{"s:2: node: must not be empty"}),
		ginkgo.Entry(nil, `"node": "a b"`, []string{"s:2: node: must be 1 to 63 letters"}),
		ginkgo.Entry(nil, `"zone": 3`, []string{"s:3: zone: must be a string, not a number"}),
		ginkgo.Entry(nil, `"region": "x/y"`, []string{"s:8: region: must be 1 to 63 letters"}),
		ginkgo.Entry(nil, `"frontend": {"address": "localhost:80"}`, []string{`s:4: frontend.address: must be IP:port such as "10.0.0.7:8443", not "localhost:80"`}),
		ginkgo.Entry(nil, `"frontend": {}`, []string{"s:4: frontend.address: missing"}),
		ginkgo.Entry(nil, `"peer": {"address": "0.0.0.0:7443"}`, []string{"s:5: peer.address: is announced to other nodes"}),
		ginkgo.Entry(nil, `"peer": {"address": "127.0.0.1:8080"}`, []string{"s:5: peer: has the same address and port as frontend"}),
		ginkgo.Entry(nil, `"admin": {"address": "0.0.0.0:7443", "token": "0123456789abcdef"}`, []string{"s:8: admin: has the same address and port as peer"}),
		ginkgo.Entry(nil, `"peer": {"address": "127.0.0.1:7443", "tls": {"certFile": "c"}}`, []string{"s:5: peer.tls.keyFile: missing"}),
		ginkgo.Entry(nil, `"admin": {"address": "127.0.0.1:1"}`, []string{"s:8: admin: without token or tokenFile there is no administration API"}),
		ginkgo.Entry(nil, `"admin": {"address": "127.0.0.1:1", "token": "short"}`, []string{"s:8: admin.token: must have at least 16 characters"}),
		ginkgo.Entry(nil, `"admin": {"address": "127.0.0.1:1", "token": "0123456789abcdef", "tokenFile": "t"}`, []string{"s:8: admin.tokenFile: give token or tokenFile, not both"}),
		ginkgo.Entry(nil, `"log": {"nam": "http"}`, []string{"s:6: log.nam: unknown field; known here: name, options"}),
		ginkgo.Entry(nil, `"log": {"options": 4}`, []string{"s:6: log.options: must be an object, not a number"}),
		ginkgo.Entry(nil, `"seeds": ["127.0.0.1:1", "x"]`, []string{"s:8: seeds[1]: must be IP:port"}),
		ginkgo.Entry(nil, `"logLevel": "loud"`, []string{"s:8: logLevel: must be one of trace, debug, info, warn, error"}),
		ginkgo.Entry(nil, `"limits": {"maxQueued": 0}`, []string{"s:8: limits.maxQueued: must be between 1 and"}),
		ginkgo.Entry(nil, `"limits": {"retryBudget": -0.1}`, []string{"s:8: limits.retryBudget: must be between 0 and 1"}),
		ginkgo.Entry(nil, `"timing": {"leaseTTL": "800ms"}`, []string{"s:8: timing.leaseTTL: leaseTTL 800ms must be above 3 × renewEvery + margin = 800ms"}),
		ginkgo.Entry(nil, `"timing": {"renewEvery": "400ms"}`, []string{"s:8: timing.renewEvery: leaseTTL 1s must be above"}),
		ginkgo.Entry(nil, `"timing": {"heartbeatEvery": "175ms"}`, []string{"s:8: timing.heartbeatEvery: suspectAfter 350ms must be above 2 × heartbeatEvery = 350ms"}),
		ginkgo.Entry(nil, `"timing": {"suspectAfter": "1s"}`, []string{"s:8: timing.suspectAfter: suspectAfter 1s must be below leaseTTL = 1s"}),
		ginkgo.Entry(nil, `"timing": {"logRelays": -1}`, []string{"s:8: timing.logRelays: must be between 0 and"}),
		ginkgo.Entry(nil, `"timing": {"driftPPM": 0}`, []string{"s:8: timing.driftPPM: must be between 1 and"}),
		ginkgo.Entry(nil, `"timing": {"margin": "0s"}`, []string{"s:8: timing.margin: must be between 5ms and"}),
		ginkgo.Entry(nil, `"ttl": "1s"`, []string{"s:8: ttl: unknown field; known here: admin, balance, frontend"}),
	)

	ginkgo.It("all missing fields are reported at once", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		_, problems := settings.Parse([]byte(`{}`), "s")
		fields := make([]string, len(problems))
		for i := range problems {
			fields[i] = problems[i].Field
		}
		g.Expect(fields).To(gomega.Equal([]string{"node", "zone", "frontend", "peer", "log", "vms"}))
	})

	ginkgo.It("load resolves the token file relative to the settings file", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		dir := t.TempDir()
		file := filepath.Join(dir, "s.jsonc")
		text := with(`"admin": {"address": "127.0.0.1:7000", "tokenFile": "token"}`)
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())

		_, err := settings.Load(file)
		var problem *settings.Problem
		g.Expect(errors.As(err, &problem)).To(gomega.BeTrue())
		g.Expect(problem.Field).To(gomega.Equal("admin.tokenFile"))
		g.Expect(problem.Line).To(gomega.Equal(8))

		g.Expect(os.WriteFile(filepath.Join(dir, "token"), []byte("0123456789abcdef\n"), 0o600)).To(gomega.Succeed())
		s, err := settings.Load(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Admin.Token).To(gomega.Equal("0123456789abcdef"))
	})

	ginkgo.It("load reports unusable TLS files", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		dir := t.TempDir()
		file := filepath.Join(dir, "s.jsonc")
		text := with(`"peer": {"address": "127.0.0.1:7443", "tls": {"certFile": "c", "keyFile": "k", "caFile": "ca"}}`)
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
		g.Expect(os.WriteFile(filepath.Join(dir, "ca"), []byte("no PEM"), 0o600)).To(gomega.Succeed())

		_, err := settings.Load(file)
		var invalid *settings.InvalidError
		g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue())
		g.Expect(invalid.Problems).To(gomega.HaveLen(2))
		g.Expect(invalid.Problems[0].Field).To(gomega.Equal("peer.tls.certFile"))
		g.Expect(invalid.Problems[1].Error()).To(gomega.ContainSubstring("peer.tls.caFile: holds no PEM certificate"))
	})

	ginkgo.It("load reports a missing file", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		_, err := settings.Load(filepath.Join(t.TempDir(), "none"))
		var missing *settings.FileError
		g.Expect(errors.As(err, &missing)).To(gomega.BeTrue())
	})
})

const valid = `{
  "node": "entry-a1", // comment
  "zone": "a",
  "frontend": {"address": "0.0.0.0:8080"},
  "peer": {"address": "127.0.0.1:7443"},
  "log": {"name": "http", "options": {"url": "http://127.0.0.1:9000"}},
  "vms": {"name": "http"},
}`

func TestSpecs(t *testing.T) { spectest.Run(t, "settings") }

// with returns the valid settings with line added, or with line in place of the
// line that sets the same field.
func with(line string) string {
	field, _, _ := strings.Cut(line, ":")
	lines := strings.Split(valid, "\n")
	for i := range lines {
		if strings.HasPrefix(strings.TrimSpace(lines[i]), field+":") {
			lines[i] = line + ","
			return strings.Join(lines, "\n")
		}
	}
	return strings.TrimSuffix(valid, "}") + line + "\n}"
}

// FuzzParse checks that Parse panics on no text, that the line of each problem is
// in the text, and that settings without problems satisfy the constraints between
// intervals.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(with(`"timing": {"leaseTTL": "1h", "driftPPM": 9e9}`)))
	f.Add([]byte(with(`"admin": {"address": "[::]:0", "token": null}`)))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := settings.Parse(text, "s")
		lines := 1 + strings.Count(string(text), "\n")
		for _, problem := range problems {
			if problem.Text == "" || problem.Line > lines {
				t.Fatalf("problem without text, or with a line outside the input: %+v", problem)
			}
		}
		if len(problems) > 0 {
			return
		}
		if s.Timing.LeaseTTL <= 3*s.Timing.RenewEvery+s.Timing.Margin || s.Timing.SuspectAfter >= s.Timing.LeaseTTL {
			t.Fatalf("inconsistent intervals accepted: %+v", s.Timing)
		}
		if s.Node == "" || s.Frontend.Address == "" || s.Limits.DrainTimeout < time.Millisecond {
			t.Fatalf("incomplete settings accepted: %+v", s)
		}
	})
}
