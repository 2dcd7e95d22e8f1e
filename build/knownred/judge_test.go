package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const twoPackages = "ok  \texample/good\t0.1s\n" +
	"--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        a_test.go:3: no\nFAIL\nFAIL\texample/bad\t0.2s\nFAIL\n"

const ginkgoPackage = "Summarizing 1 Failure:\n  [FAIL] log when away keeps serving\n  a_test.go:9\n" +
	"--- FAIL: TestSuite (0.03s)\nFAIL\nFAIL\texample/suite\t0.2s\nFAIL\n"

// ginkgoColoured is the output of Ginkgo 2.34 for two specs that fail on purpose.
const ginkgoColoured = "\x1b[38;5;9m\x1b[1mSummarizing 2 Failures:\x1b[0m\n" +
	"  \x1b[38;5;9m[FAIL]\x1b[0m \x1b[0mplanted \x1b[38;5;9m\x1b[1m[It] fails on purpose\x1b[0m\n" +
	"  \x1b[38;5;243mplanted_test.go:9\x1b[0m\n" +
	"  \x1b[38;5;9m[FAIL]\x1b[0m \x1b[0mplanted \x1b[38;5;243mtable \x1b[38;5;9m\x1b[1m[It] two\x1b[0m\n" +
	"  \x1b[38;5;243mplanted_test.go:10\x1b[0m\n" +
	"--- FAIL: TestSpecs (0.10s)\nFAIL\nFAIL\texample/suite\t0.138s\nFAIL\n"

// ginkgoPanicked is the output of a suite with a listed failure and a spec that
// panicked.
const ginkgoPanicked = "Summarizing 2 Failures:\n  [FAIL] planted [It] one\n  a_test.go:9\n" +
	"  [PANICKED!] planted [It] two\n  a_test.go:10\n--- FAIL: TestSpecs (0.1s)\nFAIL\nFAIL\texample/suite\t0.1s\nFAIL\n"

func TestJudge(t *testing.T) {
	cases := map[string]struct {
		output string
		status int
		known  string
		pass   bool
	}{
		"all pass":              {"ok  \texample/good\t0.1s\n", 0, "", true},
		"unlisted failure":      {twoPackages, 1, "", false},
		"listed failure":        {twoPackages, 1, "example/bad.TestA/one | c | 4", true},
		"other listed":          {twoPackages, 1, "example/bad.TestB | c | 4", false},
		"same test elsewhere":   {twoPackages, 1, "example/good.TestA/one | c | 4", false},
		"data race in listed":   {"WARNING: DATA RACE\n" + twoPackages[len("ok  \texample/good\t0.1s\n"):], 1, "example/bad.TestA/one | c | 4", false},
		"panic":                 {"--- FAIL: TestA (0.00s)\npanic: no\nFAIL\texample/bad\t0.2s\n", 1, "example/bad.TestA | c | 4", false},
		"build failed":          {"FAIL\texample/bad [build failed]\n", 1, "example/bad.TestA | c | 4", false},
		"failed before testing": {"go: no module\n", 1, "", false},
		"unlisted spec":         {ginkgoPackage, 1, "example/suite.TestSuite: starts | c | 4", false},
		"listed spec":           {ginkgoPackage, 1, "example/suite.TestSuite: keeps serving | c | 4", true},
		"second unlisted test":  {"--- FAIL: TestB (0.00s)\n" + ginkgoPackage, 1, "example/suite.TestSuite: keeps serving | c | 4", false},
		"both specs listed":     {ginkgoColoured, 1, "example/suite.TestSpecs: planted fails on purpose | c | 4\nexample/suite.TestSpecs: planted table two | c | 4", true},
		"one of two listed":     {ginkgoColoured, 1, "example/suite.TestSpecs: planted fails on purpose | c | 4", false},
		"the suite is no spec":  {ginkgoColoured, 1, "example/suite.TestSpecs | c | 4", false},
		"part of a spec's text": {ginkgoColoured, 1, "example/suite.TestSpecs: planted | c | 4", false},
		"a spec panicked":       {ginkgoPanicked, 1, "example/suite.TestSpecs: planted one | c | 4", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			known, err := parseKnown(tc.known)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(judge([]Run{{tc.status, tc.output}}, known).Pass).To(gomega.Equal(tc.pass))
		})
	}
}

// detectorCrash is the output of two packages, the first of which the race detector ended.
const detectorCrash = "SIGSEGV: segmentation violation\nPC=0x437870 m=5 sigcode=1\n\nFAIL\texample/crashed\t1.3s\n" +
	"ok  \texample/good\t0.1s\nFAIL\n"

// Guards against a run that fails although the package that the race detector ended passes when run again.
func TestPackageIsJudgedByItsLastRun(t *testing.T) {
	crashed := Run{1, detectorCrash}
	sites := Run{0, "ok  \texample/sites\t200s\n"}
	passed := Run{0, "ok  \texample/crashed\t1.2s\n"}
	failed := Run{1, "--- FAIL: TestA (0.00s)\nFAIL\nFAIL\texample/crashed\t1.2s\nFAIL\n"}
	broken := Run{1, "go: no module\n"}
	cases := map[string]struct {
		runs  []Run
		known string
		pass  bool
	}{
		"passes again":             {[]Run{crashed, sites, passed}, "", true},
		"not run again":            {[]Run{crashed, sites}, "", false},
		"not run again, listed":    {[]Run{crashed, sites}, "example/crashed.TestA | c | 4", false},
		"crashes again":            {[]Run{crashed, sites, crashed}, "", false},
		"fails again":              {[]Run{crashed, sites, failed}, "", false},
		"fails again, listed":      {[]Run{crashed, sites, failed}, "example/crashed.TestA | c | 4", true},
		"passes, then fails":       {[]Run{passed, failed}, "", false},
		"another fails":            {[]Run{{1, twoPackages}, crashed, passed}, "", false},
		"run that did not start":   {[]Run{crashed, broken, passed}, "", false},
		"rerun that did not start": {[]Run{crashed, sites, broken}, "", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			known, err := parseKnown(tc.known)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(judge(tc.runs, known).Pass).To(gomega.Equal(tc.pass))
		})
	}
}

func TestParseKnownRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"two fields":   "a.TestA | cause",
		"empty cause":  "a.TestA | | 4",
		"four entries": "a.T1|c|1\na.T2|c|1\na.T3|c|1\na.T4|c|1",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseKnown(text)
			var listError *ListError
			gomega.NewWithT(t).Expect(errors.As(err, &listError)).To(gomega.BeTrue())
		})
	}
}

// Guards against a list that grows: only the entries of the one issue do not count.
func TestEntriesOfOneIssueDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	counted := "p.A | c | issue 1\np.B | c | issue 2\np.C | c | issue 2\n"
	uncounted := strings.Repeat("p.D | c | "+uncountedIssue+"\n", 5)
	entries, err := parseKnown(uncounted + counted + uncounted)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entries).To(gomega.HaveLen(13))
	for _, issue := range []string{"issue 3", "issue 7", "issue 720", "issue 72, issue 3"} {
		_, err = parseKnown(uncounted + counted + "p.E | c | " + issue + "\n")
		var listError *ListError
		g.Expect(errors.As(err, &listError)).To(gomega.BeTrue(), issue)
	}
}
