// Package docs_test checks that the commands and examples of the pages are run
// or valid.
package docs_test

import (
	"os"
	"path/filepath"
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

var testName = regexp.MustCompile("`(Test[A-Za-z]+)(?:/([^`]+))?`")

// sources joins the test files of the packages that the page of faults names.
func sources(t *testing.T) string {
	t.Helper()
	g := gomega.NewWithT(t)
	var joined strings.Builder
	for _, pattern := range []string{"../proof/*_test.go", "../modules/lessor/*_test.go"} {
		files, err := filepath.Glob(pattern)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, file := range files {
			text, err := os.ReadFile(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			joined.Write(text)
		}
	}
	return joined.String()
}

func TestFaultsPageNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("FAULTS.md")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	code := sources(t)
	for _, match := range testName.FindAllStringSubmatch(string(page), -1) {
		if !strings.Contains(code, "func "+match[1]+"(") {
			t.Errorf("no test %s", match[1])
		}
		row := `"` + strings.ReplaceAll(match[2], "_", " ") + `"`
		if match[2] != "" && !strings.Contains(code, row) {
			t.Errorf("%s has no row %s", match[1], row)
		}
	}
}

func TestFaultsPageHasARowForEachFaultOfTheProof(t *testing.T) {
	page, err := os.ReadFile("FAULTS.md")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	rows := regexp.MustCompile(`(?m)^\t\{name: "([^"]+)"`)
	for _, match := range rows.FindAllStringSubmatch(sources(t), -1) {
		name := "/" + strings.ReplaceAll(match[1], " ", "_") + "`"
		if match[1] != "no fault" && !strings.Contains(string(page), name) {
			t.Errorf("docs/FAULTS.md has no row for %q", match[1])
		}
	}
}
