package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/config"
)

const valid = `{
  // comments are fine
  "node": "n1", "zone": "a",
  "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3"},
  "seeds": ["127.0.0.1:4"],
  "driver": {"name": "platform", "options": {"address": "127.0.0.1:5"}},
  "retries": {"ratio": 0.2, "slack": 56, "window": "10s"},
  "timing": {"grace": "6s", "holdMax": "10s"},
}`

func TestSettingsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	s, problems := config.Parse([]byte(valid), "f")
	g.Expect(problems).To(gomega.BeEmpty())
	g.Expect(s.Listen.Front).To(gomega.Equal("127.0.0.1:1"))
	g.Expect(s.Retries).To(gomega.Equal(config.Retries{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}))
	g.Expect(s.Timing.Notice).To(gomega.Equal(2500 * time.Millisecond))
	g.Expect(s.Driver.Options).To(gomega.HaveKeyWithValue("address", "127.0.0.1:5"))
}

func TestProblemsNameTheirField(t *testing.T) {
	for field, change := range map[string][2]string{
		"node":          {`"node": "n1"`, `"node": ""`},
		"listen.front":  {"127.0.0.1:1", "nowhere"},
		"seeds[0]":      {"127.0.0.1:4", "x"},
		"retries.ratio": {`"ratio": 0.2`, `"ratio": 2`},
		"timing.grace":  {`"grace": "6s"`, `"grace": 6`},
		"timing.odd":    {`"grace": "6s"`, `"odd": 1`},
	} {
		t.Run(field, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, problems := config.Parse([]byte(strings.Replace(valid, change[0], change[1], 1)), "f")
			g.Expect(problems).NotTo(gomega.BeEmpty())
			g.Expect(problems[0].Error()).To(gomega.ContainSubstring(field))
		})
	}
}

// placeholders replaces the placeholders of the deployment template, as the platform does.
var placeholders = strings.NewReplacer(
	"{{node|json}}", `"n1"`, "{{zone|json}}", `"a"`, "{{region|json}}", `"r"`, "{{zones|json}}", `{"a": "r", "b": "s"}`,
	"{{listen.front|json}}", `"127.0.0.1:1"`, "{{listen.ready|json}}", `"127.0.0.1:2"`, "{{listen.control|json}}", `"127.0.0.1:3"`,
	"{{ip}}", "127.0.0.1", "{{seeds|json}}", `["127.0.0.1:4"]`, "{{platform.address|json}}", `"127.0.0.1:5"`,
	"{{bounds.retry-budget-ratio|json}}", "0.2", "{{bounds.budget-slack|json}}", "56", "{{bounds.budget-window-s}}", "10",
	"{{limits.memory-mb|json}}", "284", "{{limits.cpu-share|json}}", "0.32", "{{limits.cores|json}}", "1", "{{limits.link-mbps|json}}", "10",
	"{{bounds.grace-s}}", "6", "{{bounds.hold-max-s}}", "10", "{{.}}", "5",
)

// sections are the parts of the template that are rendered only on deployments with a value.
var sections = regexp.MustCompile(`\{\{#[^}]*\}\}(.*)\{\{/[^}]*\}\}`)

// Deployments without a bound for evacuations have no such part of the settings.
func TestDeploymentTemplateIsValidWithoutOptionalBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	template, err := os.ReadFile("../../deploy/settings.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, problems := config.Parse([]byte(placeholders.Replace(sections.ReplaceAllString(string(template), ""))), "deploy/settings.jsonc")
	g.Expect(problems).To(gomega.BeEmpty())
}

func TestDeploymentTemplateIsValid(t *testing.T) {
	g := gomega.NewWithT(t)
	template, err := os.ReadFile("../../deploy/settings.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := placeholders.Replace(sections.ReplaceAllString(string(template), "$1"))
	g.Expect(text).NotTo(gomega.ContainSubstring("{{"))
	_, problems := config.Parse([]byte(text), "deploy/settings.jsonc")
	g.Expect(problems).To(gomega.BeEmpty())
}
