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

func TestExplainPrintsWhatWasDecidedAndBelieved(t *testing.T) {
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
