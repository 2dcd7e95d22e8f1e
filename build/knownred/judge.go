package main

import (
	"regexp"
	"strings"
)

// suiteTest is the test function that runs a package's Ginkgo specs. Each failed
// spec must be listed separately; an entry for suiteTest itself excuses none.
const suiteTest = "TestSpecs"

// Verdict is the decision and the lines to print.
type Verdict struct {
	Pass  bool
	Lines []string
}

var (
	failedTest    = regexp.MustCompile(`^\s*--- FAIL: (\S+)`)
	failedSpec    = regexp.MustCompile(`^\s*\[FAIL\] (.*)$`)
	packageResult = regexp.MustCompile(`^(ok|FAIL|\?)\s+(\S+)`)
	fatalLine     = regexp.MustCompile(`^(panic:|fatal error:|WARNING: DATA RACE)|\[(build|setup) failed\]` +
		`|^\s*\[(PANICKED!|TIMEDOUT|INTERRUPTED|ABORTED)\]`)
	leafMark   = regexp.MustCompile(`\[It\] `)
	ansiColour = regexp.MustCompile("\x1b\\[[0-9;]*m")
)

// packageOutput is the parsed go test output of one failed package.
type packageOutput struct {
	name  string
	tests []string
	specs []string
	fatal bool
}

// judge passes a run whose only failures are in listed tests.
func judge(output string, status int, known []Entry) Verdict {
	verdict := Verdict{Pass: true}
	used := map[string]bool{}
	failures := failedPackages(output)
	for _, failure := range failures {
		if !failure.excused(known, used) {
			verdict.Pass = false
			verdict.Lines = append(verdict.Lines, "failed: "+failure.name)
		}
	}
	if status != 0 && len(failures) == 0 {
		verdict.Pass = false
		verdict.Lines = append(verdict.Lines, "failed: go test ended with an error outside any package")
	}
	for _, entry := range known {
		prefix := "known red, passes now (remove its line): "
		if used[entry.Test] {
			prefix = "known red: "
		}
		verdict.Lines = append(verdict.Lines, prefix+entry.Test+" | "+entry.Cause+" | "+entry.Issue)
	}
	return verdict
}

// failedPackages splits the output at the result line that ends the output of each
// package, and returns the failed packages.
func failedPackages(output string) []packageOutput {
	var failures []packageOutput
	var current packageOutput
	for _, line := range strings.Split(ansiColour.ReplaceAllString(output, ""), "\n") {
		if match := failedTest.FindStringSubmatch(line); match != nil {
			current.tests = append(current.tests, match[1])
			continue
		}
		if match := failedSpec.FindStringSubmatch(line); match != nil {
			current.specs = append(current.specs, leafMark.ReplaceAllString(match[1], ""))
		}
		if fatalLine.MatchString(line) {
			current.fatal = true
		}
		match := packageResult.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		if match[1] == "FAIL" {
			current.name = match[2]
			failures = append(failures, current)
		}
		current = packageOutput{}
	}
	return failures
}

// excused reports whether every failure of the package is listed, and marks the
// entries that match a failure as used.
func (p packageOutput) excused(known []Entry, used map[string]bool) bool {
	if p.fatal || len(p.tests) == 0 {
		return false
	}
	for _, test := range p.tests {
		if p.hasFailedSubtest(test) {
			continue
		}
		isSuite := test == suiteTest && len(p.specs) > 0
		if !isSuite && listed(known, used, p.name+"."+test) {
			continue
		}
		if !p.specsListed(test, known, used) {
			return false
		}
	}
	return true
}

func (p packageOutput) hasFailedSubtest(test string) bool {
	for _, other := range p.tests {
		if strings.HasPrefix(other, test+"/") {
			return true
		}
	}
	return false
}

// specsListed reports whether each failed spec of a Ginkgo suite is listed.
func (p packageOutput) specsListed(suite string, known []Entry, used map[string]bool) bool {
	if len(p.specs) == 0 {
		return false
	}
	for _, spec := range p.specs {
		if !specListed(p.name+"."+suite+": ", spec, known, used) {
			return false
		}
	}
	return true
}

func specListed(prefix, spec string, known []Entry, used map[string]bool) bool {
	for _, entry := range known {
		text, isSpec := strings.CutPrefix(entry.Test, prefix)
		if isSpec && (spec == text || strings.HasSuffix(spec, " "+text)) {
			used[entry.Test] = true
			return true
		}
	}
	return false
}

func listed(known []Entry, used map[string]bool, test string) bool {
	for _, entry := range known {
		if entry.Test == test {
			used[test] = true
			return true
		}
	}
	return false
}
