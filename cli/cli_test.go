package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/spectest"
)

var _ = ginkgo.Describe("command line", func() {
	ginkgo.DescribeTable("wrong arguments are usage errors",
		func(args ...string) {
			t := ginkgo.GinkgoTB()
			if file := slices.Index(args, "FILE"); file >= 0 {
				args[file] = writeFile(t, goodSite)
			}
			gomega.NewWithT(t).Expect(run(nil, args...).code).To(gomega.Equal(cli.ExitUsage))
		},
		func(args ...string) string { return "[" + strings.Join(args, " ") + "]" },
		ginkgo.Entry(nil),
		ginkgo.Entry(nil, "nonsense"),
		ginkgo.Entry(nil, "check"),
		ginkgo.Entry(nil, "check", "FILE", "more"),
		ginkgo.Entry(nil, "check", "--nonsense", "x", "FILE"),
		ginkgo.Entry(nil, "check", "--kind", "poem", "FILE"),
		ginkgo.Entry(nil, "run"),
		ginkgo.Entry(nil, "run", "--settings"),
		ginkgo.Entry(nil, "site"),
		ginkgo.Entry(nil, "publish", "FILE"),
		ginkgo.Entry(nil, "publish", "--base", "x", "FILE"),
		ginkgo.Entry(nil, "publish", "--base", "0", "FILE"),
		ginkgo.Entry(nil, "status", "--admin", "http://127.0.0.1:1"),
		ginkgo.Entry(nil, "status", "--admin", "http://127.0.0.1:1", "--token", "a", "--token-file", "b"),
	)

	ginkgo.It("help and version succeed", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		g.Expect(run(nil, "--help").code).To(gomega.Equal(cli.ExitOK))
		g.Expect(run(nil, "check", "--help").code).To(gomega.Equal(cli.ExitOK))
		version := run(nil, "version")
		g.Expect(version.code).To(gomega.Equal(cli.ExitOK))
		g.Expect(version.stdout).To(gomega.HavePrefix("burdockspindle devel commit "))
	})

	ginkgo.DescribeTable("check",
		func(c checkCase) {
			t := ginkgo.GinkgoTB()
			g := gomega.NewWithT(t)
			file := writeFile(t, c.text)
			got := run(nil, append([]string{"check", file}, c.args...)...)
			g.Expect(got.code).To(gomega.Equal(c.code), got.stderr)
			g.Expect(strings.TrimPrefix(got.stdout, file)).To(gomega.Equal(c.stdout))
			lines := strings.Split(strings.TrimSuffix(got.stderr, "\n"), "\n")
			if len(c.problems) == 0 {
				lines = nil
			}
			g.Expect(lines).To(gomega.HaveLen(len(c.problems)), got.stderr)
			for i, problem := range c.problems {
				g.Expect(lines[i]).To(gomega.HavePrefix(file + problem))
			}
		},
		ginkgo.Entry("settings", checkCase{goodSettings, nil, cli.ExitOK, ": valid (settings)\n", nil}),
		ginkgo.Entry("site", checkCase{goodSite, nil, cli.ExitOK, ": valid (site)\n", nil}),
		ginkgo.Entry("every problem of a site", checkCase{"{\"services\": {\n\"a\": {\"keyed\": 1, \"deadline\": 5,\n\"dependsOn\": [\"b\"]}}}", nil, cli.ExitFailure, "", []string{
			":2: services.a.keyed: must be true or false", ":2: services.a.concurrencyPerServer: missing",
			":2: services.a.connectionsPerServer: missing", ":2: services.a.checksFencing: missing",
			":2: services.a.deadline: must be a duration", ":3: services.a.dependsOn[0]: no service is called b",
		}}),
		ginkgo.Entry("site checked as settings", checkCase{goodSite, []string{"--kind", "settings"}, cli.ExitFailure, "", []string{
			":1: node: missing", ":1: zone: missing", ":1: frontend: missing", ":1: peer: missing",
			":1: log: missing", ":1: vms: missing", ":1: services: unknown field",
		}}),
		ginkgo.Entry("no JSON", checkCase{"{\n", nil, cli.ExitFailure, "", []string{":1: not valid JSON with comments"}}),
	)

	ginkgo.It("check of a missing file", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		g.Expect(run(nil, "check", filepath.Join(t.TempDir(), "none")).code).To(gomega.Equal(cli.ExitFailure))
	})

	ginkgo.It("each invocation starts from the default flags", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		file := writeFile(t, goodSite)
		g.Expect(run(nil, "check", "--kind", "settings", file).code).To(gomega.Equal(cli.ExitFailure))
		g.Expect(run(nil, "check", file).code).To(gomega.Equal(cli.ExitOK))
	})

	ginkgo.It("run starts no node with invalid settings", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		file := writeFile(t, "{\"node\": 1}")
		got := run(nil, "run", "--settings", file)
		g.Expect(got.code).To(gomega.Equal(cli.ExitFailure))
		g.Expect(strings.Split(got.stderr, "\n")[0]).To(gomega.HavePrefix(file + ":1: node: must be a string"))
		g.Expect(startedNodes).To(gomega.BeEmpty())
	})

	ginkgo.It("grouped commands", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		got := run(nil, "group", "word", "--word", "hello")
		g.Expect(got).To(gomega.Equal(outcome{code: cli.ExitOK, stdout: "hello"}))
		g.Expect(run(nil, "group").code).To(gomega.Equal(cli.ExitUsage))
		g.Expect(func() { cli.Register(func() cli.Command { return cli.Command{Name: "check"} }) }).To(gomega.Panic())
	})
})

const (
	goodSettings = `{"node": "n", "zone": "z", "frontend": {"address": "127.0.0.1:1"}, "peer": {"address": "127.0.0.1:2"}, "log": {}, "vms": {}}`
	goodSite     = `{"services": {"a": {"keyed": true, "concurrencyPerServer": 1, "connectionsPerServer": 1, "checksFencing": true}}}`
)

func TestSpecs(t *testing.T) { spectest.Run(t, "cli") }

// checkCase is a file and the expected result of the check command.
type checkCase struct {
	text     string
	args     []string
	code     int
	stdout   string
	problems []string // prefix of each line on stderr, without the file name
}

// outcome is the exit code and the output of one invocation of the program.
type outcome struct {
	code           int
	stdout, stderr string
}

// run runs the program with the given environment variables.
func run(environment map[string]string, args ...string) outcome {
	var stdout, stderr bytes.Buffer
	env := &cli.Env{Stdout: &stdout, Stderr: &stderr, Getenv: func(name string) string { return environment[name] }}
	code := cli.Main(context.Background(), args, env)
	return outcome{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// writeFile creates a file with the text in a new temporary directory and returns its
// path.
func writeFile(t testing.TB, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.jsonc")
	gomega.NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	return file
}

// startedNodes receives the settings of each node that the command run starts. The
// node runs until its context ends.
var startedNodes = make(chan *settings.Settings, 1)

func init() {
	cli.Register(cli.RunCommand(func(ctx context.Context, s *settings.Settings, _ hclog.Logger) error {
		startedNodes <- s
		<-ctx.Done()
		return nil
	}))
	cli.Register(func() cli.Command {
		word := ""
		return cli.Command{
			Name:  "group word",
			Flags: func(sub *flaggy.Subcommand) { sub.String(&word, "w", "word", "a word") },
			Run: func(_ context.Context, env *cli.Env) error {
				_, err := env.Stdout.Write([]byte(word))
				return err
			},
		}
	})
}

// TestSignalEndsRun is not a Ginkgo spec because Ginkgo handles signals itself.
func TestSignalEndsRun(t *testing.T) {
	g := gomega.NewWithT(t)
	file := writeFile(t, goodSettings)
	done := make(chan outcome, 1)
	go func() { done <- run(nil, "run", "--settings", file) }()
	var s *settings.Settings
	g.Eventually(startedNodes, "10s").Should(gomega.Receive(&s))
	g.Expect(string(s.Node)).To(gomega.Equal("n"))
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(gomega.Succeed())
	var got outcome
	g.Eventually(done, "10s").Should(gomega.Receive(&got))
	g.Expect(got.code).To(gomega.Equal(cli.ExitOK))
}
