package main

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
)

const twoPackages = "ok  \texample/good\t0.1s\n" +
	"--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        a_test.go:3: no\nFAIL\nFAIL\texample/bad\t0.2s\nFAIL\n"

const ginkgoPackage = "Summarizing 1 Failure:\n  [FAIL] log when away keeps serving\n  a_test.go:9\n" +
	"--- FAIL: TestSuite (0.03s)\nFAIL\nFAIL\texample/suite\t0.2s\nFAIL\n"

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
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			known, err := parseKnown(tc.known)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(judge(tc.output, tc.status, known).Pass).To(gomega.Equal(tc.pass))
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
