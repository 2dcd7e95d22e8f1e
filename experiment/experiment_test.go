package experiment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/experiment"
	"github.com/burdockspindle/burdockspindle/scenarios"
)

func TestEveryScenarioParses(t *testing.T) {
	g := gomega.NewWithT(t)
	wanted := []string{
		"cold-start", "lost-lessors", "lost-server", "lost-zone", "lying-server", "moving-hot-keys", "one-hot-key",
		"overload", "retry-storm", "rolling-replacement", "shedding-servers", "slow-server", "steady",
	}
	g.Expect(scenarios.Names()).To(gomega.Equal(wanted))
	for _, name := range scenarios.Names() {
		scenario, err := experiment.LoadScenario(name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(scenario.Description).NotTo(gomega.BeEmpty())
		g.Expect(scenario.Warmup).To(gomega.BeNumerically("<", scenario.Traffic.Duration))
	}
}

func TestScenarioProblemsHaveLineAndField(t *testing.T) {
	cases := []struct{ text, want string }{
		{"{}", "f:1: description: missing"},
		{`{"description": "x", "duration": 5}`, "f:1: duration: must be a duration"},
		{"{\"description\": \"x\",\n\"phases\": [{\"from\": \"1s\"}]}", "f:2: phases[0].factor: give either factor or utilization"},
		{"{\"description\": \"x\",\n\"faults\": [{\"kind\": \"melt\", \"at\": \"1s\"}]}", "f:2: faults[0].kind: must be one of"},
		{`{"description": "x", "duration": "5s", "warmup": "5s"}`, "f:1: warmup: must be shorter than the duration"},
		{`{"description": "x", "faults": [{"kind": "slow", "at": "1s", "factor": 0}]}`, "f:1: faults[0].factor: must be above 0"},
		{`{"description": "x", "typo": 1}`, "f:1: typo: unknown field"},
	}
	for _, c := range cases {
		_, err := experiment.ParseScenario("s", []byte(c.text), "f")
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.HavePrefix(c.want)))
	}
}

// short writes a scenario file with a duration of a few seconds.
func short(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "short.jsonc")
	text := `{"description": "a <short> run", "duration": "3s", "warmup": "1s"} // comment`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestRunComparesPoliciesAndWritesAReport(t *testing.T) {
	g := gomega.NewWithT(t)
	report := filepath.Join(t.TempDir(), "report.html")
	options := experiment.Options{
		Scenarios: []string{short(t)}, Policies: []string{"static", "push"}, Deployment: "kavango",
		Seed: 3, JSON: true, Report: report,
	}
	var stdout, stderr bytes.Buffer
	g.Expect(experiment.Run(context.Background(), options, &stdout, &stderr)).To(gomega.Succeed())
	g.Expect(stderr.String()).To(gomega.BeEmpty())
	var results []experiment.Result
	g.Expect(json.Unmarshal(stdout.Bytes(), &results)).To(gomega.Succeed())
	g.Expect(results).To(gomega.HaveLen(2))
	g.Expect(results[0].Against.CoefficientOfVariation).To(gomega.Equal(1.0))
	g.Expect(results[0].Figures.Offered).To(gomega.Equal(results[1].Figures.Offered))
	html, err := os.ReadFile(report)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(html)).To(gomega.ContainSubstring("a &lt;short&gt; run"))
	g.Expect(strings.Count(string(html), "<polyline")).To(gomega.Equal(12))
	g.Expect(string(html)).NotTo(gomega.ContainSubstring("http"))
}

func TestTextListsEveryRun(t *testing.T) {
	g := gomega.NewWithT(t)
	options := experiment.Options{Scenarios: []string{short(t)}, Policies: []string{"greedy"}, Deployment: "kavango", Seed: 3}
	var stdout, stderr bytes.Buffer
	g.Expect(experiment.Run(context.Background(), options, &stdout, &stderr)).To(gomega.Succeed())
	g.Expect(stdout.String()).To(gomega.ContainSubstring("kavango, short, seed 3: a <short> run"))
	g.Expect(stdout.String()).To(gomega.MatchRegexp(`greedy +dchoices`))
}

func TestUnknownNamesAreRefused(t *testing.T) {
	cases := []struct {
		options experiment.Options
		want    string
	}{
		{experiment.Options{Scenarios: []string{"nothing"}}, "scenario nothing: not known; embedded: cold-start"},
		{experiment.Options{Scenarios: []string{"no/such.jsonc"}}, "no/such.jsonc: "},
		{experiment.Options{Policies: []string{"nothing"}}, "policy nothing: not known; there are greedy"},
		{experiment.Options{Pickers: []string{"nothing"}}, "pick nothing: not known; there are budget"},
		{experiment.Options{EntryNodes: 1001}, "entry nodes in each zone: 1001 is not between 0 and 1000"},
		{experiment.Options{Deployment: "nothing"}, "deployment nothing: not known; there are kavango"},
	}
	for _, c := range cases {
		var stdout, stderr bytes.Buffer
		err := experiment.Run(context.Background(), c.options, &stdout, &stderr)
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.HavePrefix(c.want)))
	}
}
