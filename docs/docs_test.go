// Package docs_test checks that the commands and examples of the pages are run
// or valid.
package docs_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/build/docblocks"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

const (
	root     = ".."
	ciScript = "../.ci/run"
)

func blocks(t *testing.T) []docblocks.Block {
	t.Helper()
	all, err := docblocks.ReadAll(root)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return all
}

func TestCommandsOfThePagesAreRun(t *testing.T) {
	script, err := os.ReadFile(ciScript)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, block := range blocks(t) {
		switch block.Kind + " " + block.Tag {
		case "sh ci":
			for _, command := range block.Commands() {
				if !strings.Contains(string(script), command+"\n") && !strings.Contains(string(script), command+" 2>&1") {
					t.Errorf("%s:%d: .ci/run does not run: %s", block.File, block.Line, command)
				}
			}
		case "sh site": // proof/multiprocess_test.go runs these
		default:
			if block.Kind == "sh" || block.Kind == "bash" || block.Kind == "console" {
				t.Errorf("%s:%d: a block of commands must be tagged ci or site", block.File, block.Line)
			}
		}
	}
}

func TestExamplesOfThePagesAreValid(t *testing.T) {
	for _, block := range blocks(t) {
		if block.Kind != "jsonc" {
			continue
		}
		var problems []jsonc.Problem
		switch block.Tag {
		case "settings":
			_, problems = settings.Parse([]byte(block.Text), block.File)
		case "site":
			_, problems = siteconfig.Parse([]byte(block.Text), block.File)
		default:
			t.Errorf("%s:%d: a jsonc block must be tagged settings or site", block.File, block.Line)
		}
		if err := jsonc.ErrorOf(problems); err != nil {
			t.Errorf("%s:%d: %v", block.File, block.Line, err)
		}
	}
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinksBetweenPagesLeadSomewhere(t *testing.T) {
	pages, err := docblocks.Pages(root)
	g := gomega.NewWithT(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, page := range pages {
		text, err := os.ReadFile(page)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		folder := page[:strings.LastIndex(page, "/")+1]
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(folder + match[1]); err != nil {
				t.Errorf("%s: link to %s leads nowhere", page, match[1])
			}
		}
	}
}
