package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
)

const nodeLog = `no JSON
{"@timestamp":"2026-01-01T00:00:01Z","@message":"configuration adopted","event":2010,"node":"n1","version":7}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"configuration adopted","event":2010,"node":"n1","version":8}
{"@timestamp":"2026-01-01T00:00:04Z","@message":"request finished","event":2200,"node":"n1","request":"r1","outcome":"refused","status":503,"reason":"no server","took":"3 ms","config":8,"steps":"waited 1 ms; sent to s1, not reached after 2 ms"}
`

const lessorLog = `{"@timestamp":"2026-01-01T00:00:03Z","@message":"grant or release failed","event":2108,"node":"n2","server":"s1","fence":5}
`

func TestExplainPrintsRequestAndState(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	g.Expect(os.WriteFile(first, []byte(nodeLog), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(second, []byte(lessorLog), 0o600)).To(gomega.Succeed())
	var out, problems bytes.Buffer
	env := &cli.Env{Stdout: &out, Stderr: &problems, Getenv: os.Getenv}

	code := cli.Main(context.Background(), []string{"explain", "--request", "r1", first + "," + second}, env)
	g.Expect(code).To(gomega.Equal(cli.ExitOK), problems.String())
	g.Expect(out.String()).To(gomega.And(
		gomega.ContainSubstring("n1: refused with status 503 after 3 ms"),
		gomega.ContainSubstring("reason: no server"),
		gomega.ContainSubstring("step: sent to s1, not reached after 2 ms"),
		gomega.ContainSubstring("configuration adopted version=8"),
		gomega.Not(gomega.ContainSubstring("version=7")),
		gomega.ContainSubstring("n2 2026-01-01T00:00:03Z grant or release failed fence=5 server=s1"),
	))

	code = cli.Main(context.Background(), []string{"explain", "--request", "r2", first}, env)
	g.Expect(code).To(gomega.Equal(cli.ExitFailure))
	g.Expect(problems.String()).To(gomega.ContainSubstring("no line of request r2"))
}

func TestExplainSummarizesFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	const moreLog = `{"@timestamp":"2026-01-01T00:00:06Z","@message":"request finished","event":2200,"node":"n2","outcome":"refused","status":503,"reason":"no server","service":"a","steps":""}
{"@timestamp":"2026-01-01T00:00:06Z","@message":"request finished","event":2200,"node":"n2","outcome":"failed","status":504,"reason":"timeout","service":"b","steps":"sent to s1, not run, status 503 after 2 ms; sent to s2, no answer yet"}
{"@timestamp":"2026-01-01T00:00:06Z","@message":"request finished","event":2200,"node":"n2","outcome":"answered","status":200,"service":"b","steps":"sent to s2, status 200 after 2 ms"}
{"@timestamp":"2026-01-01T00:00:07Z","@message":"this node is the lessor","event":2101,"node":"n2","offset":9}
{"@timestamp":"2026-01-01T00:00:07Z","@message":"lines of requests left out","event":2201,"node":"n2","lines":12}
`
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	g.Expect(os.WriteFile(first, []byte(nodeLog), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(second, []byte(moreLog), 0o600)).To(gomega.Succeed())
	var out, problems bytes.Buffer
	env := &cli.Env{Stdout: &out, Stderr: &problems, Getenv: os.Getenv}

	code := cli.Main(context.Background(), []string{"explain", "--summary", first + "," + second}, env)
	g.Expect(code).To(gomega.Equal(cli.ExitOK), problems.String())
	for _, line := range []string{
		`1 +a +refused +no server`,
		`1 +b +failed +timeout`,
		`5 +2 +1 a no server, 1 b timeout`,
		`s2 +1`,
		`n2 +2`,
		`n2 2026-01-01T00:00:07Z this node is the lessor offset=9`,
		`12 lines of requests were left out by the nodes`,
	} {
		g.Expect(out.String()).To(gomega.MatchRegexp(`(?m)^`+line), out.String())
	}

	code = cli.Main(context.Background(), []string{"explain", first}, env)
	g.Expect(code).NotTo(gomega.Equal(cli.ExitOK), "explain without --request and --summary is a usage error")
}
