package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/gateway/ceiling"
)

func runCeiling(args ...string) (status int, out, problems string) {
	var stdout, stderr bytes.Buffer
	status = cli.Main(context.Background(), append([]string{"ceiling"}, args...), &cli.Env{Stdout: &stdout, Stderr: &stderr, Getenv: os.Getenv})
	return status, stdout.String(), stderr.String()
}

// Guards against examples that are no longer valid, or whose results change unnoticed from those of docs/design/ceiling.md.
func TestCeilingOfTheExamples(t *testing.T) {
	want := map[string][2]float64{ // bound, estimate
		"cards-full.jsonc":      {1, 0.960},
		"cards-quiet.jsonc":     {1, 0.966},
		"cards-zone-away.jsonc": {1, 0.915},
		"desk-full.jsonc":       {1, 0.931},
		"desk-quiet.jsonc":      {1, 0.950},
	}
	files, err := filepath.Glob("../examples/ceiling/*.jsonc")
	g := gomega.NewWithT(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.HaveLen(len(want)))
	for _, file := range files {
		status, out, problems := runCeiling("--json", file)
		g.Expect(status).To(gomega.Equal(0), problems)
		var result ceiling.Result
		g.Expect(json.Unmarshal([]byte(out), &result)).To(gomega.Succeed())
		figures := want[filepath.Base(file)]
		g.Expect(result.Bound).To(gomega.BeNumerically("~", figures[0], 0.0006), file)
		g.Expect(result.Estimate).To(gomega.BeNumerically("~", figures[1], 0.0006), file)
	}
}

// Guards against scripts that take a file with errors, or a missing one, for a result.
func TestCeilingOfAnInvalidFileFailsWithItsPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "f.jsonc")
	g.Expect(os.WriteFile(file, []byte("{\n\"name\": 1}"), 0o600)).To(gomega.Succeed())
	status, out, problems := runCeiling(file)
	g.Expect(status).To(gomega.Equal(cli.ExitFailure))
	g.Expect(out).To(gomega.BeEmpty())
	g.Expect(problems).To(gomega.ContainSubstring(file + ":2: name: must be a string"))
	status, _, problems = runCeiling(file + ".none")
	g.Expect(status).To(gomega.Equal(cli.ExitFailure))
	g.Expect(problems).To(gomega.ContainSubstring("cannot be read"))
}

// Guards against a summary that says that all requests are answered in time where those that are not are worth as much, or nothing.
func TestCeilingWithoutALossOfValueIsNotCalledInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "f.jsonc")
	g.Expect(os.WriteFile(file, []byte(`{"name": "n", "period": "2s",
"services": {"s": {"slots": 1, "servers": [{"count": 1}]}},
"routes": {
	"late": {"service": "s", "rate": 20, "work": "100ms", "objective": "200ms", "deadline": "10s", "value": 1, "valueLate": 1},
	"free": {"service": "s", "rate": 100, "work": "100ms", "objective": "200ms", "deadline": "200ms", "value": 0}}}`), 0o600)).To(gomega.Succeed())
	status, out, problems := runCeiling(file)
	g.Expect(status).To(gomega.Equal(0), problems)
	g.Expect(out).To(gomega.ContainSubstring("no bottleneck: by the bound no value is lost\n"))
	g.Expect(out).To(gomega.ContainSubstring("     0      12.0      1.0      1.0      1.0       50 + 50 "), "half is late")
}
