package experiment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/experiment"
)

func runGateway(options experiment.Options) (string, error) {
	options.Deployment = experiment.Gateway
	options.Seed = 1
	var stdout, stderr bytes.Buffer
	err := experiment.Run(context.Background(), options, &stdout, &stderr)
	return stdout.String(), err
}

func TestGatewayTextListsEveryRun(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := runGateway(experiment.Options{Scenarios: []string{"hanging"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.ContainSubstring("gateway, hanging, seed 1: a third"))
	g.Expect(text).To(gomega.MatchRegexp(`pool +2390 +97\.`))
	g.Expect(text).To(gomega.MatchRegexp(`blind +2390 +81\.`))
}

func TestGatewayJSONHasTheChosenPolicies(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := runGateway(experiment.Options{Scenarios: []string{"hanging", "shedding"}, Policies: []string{"blind"}, JSON: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var results []experiment.GatewayResult
	g.Expect(json.Unmarshal([]byte(text), &results)).To(gomega.Succeed())
	g.Expect(results).To(gomega.HaveLen(2))
	g.Expect(results[1].Scenario).To(gomega.Equal("shedding"))
	g.Expect(results[1].Figures.Shed).To(gomega.BeNumerically(">", 0))
}

func TestGatewayRefusesWhatItDoesNotHave(t *testing.T) {
	cases := []struct {
		options experiment.Options
		want    string
	}{
		{experiment.Options{Scenarios: []string{"nothing"}}, "scenario nothing: not known; embedded: unlike-speeds"},
		{experiment.Options{Policies: []string{"nothing"}}, "policy nothing: not known; there are pool, blind"},
		{experiment.Options{Pickers: []string{"random"}}, "deployment gateway has no option --pick"},
		{experiment.Options{EntryNodes: 3}, "deployment gateway has no option --entry-nodes"},
		{experiment.Options{Report: "x.html"}, "deployment gateway has no option --report"},
	}
	for _, c := range cases {
		_, err := runGateway(c.options)
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.HavePrefix(c.want)))
	}
}
