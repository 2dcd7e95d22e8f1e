package main

import (
	"regexp"
	"slices"
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

// packageOutput is the parsed go test output of one package.
type packageOutput struct {
	name   string
	result string // ok, FAIL or ?
	tests  []string
	specs  []string
	fatal  bool
}

// Run is one run of "go test".
type Run struct {
	Status int
	Output string
}

// judge passes runs whose only failures are in listed tests.
func judge(runs []Run, known []Entry) Verdict {
	verdict := Verdict{Pass: true}
	used := map[string]bool{}
	for i, run := range runs {
		packages := packagesOf(run.Output)
		if run.Status != 0 && !slices.ContainsFunc(packages, packageOutput.hasFailed) {
			verdict.Pass = false
			verdict.Lines = append(verdict.Lines, "failed: go test ended with an error outside any package")
		}
		for _, p := range packages {
			if p.hasFailed() && !isIn(p.name, runs[i+1:]) && !p.excused(known, used) {
				verdict.Pass = false
				verdict.Lines = append(verdict.Lines, "failed: "+p.name)
			}
		}
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

// isIn reports whether a package is in one of the runs.
func isIn(name string, runs []Run) bool {
	return slices.ContainsFunc(runs, func(run Run) bool {
		return slices.ContainsFunc(packagesOf(run.Output), func(p packageOutput) bool { return p.name == name })
	})
}

// packagesOf splits the output at the result line that ends the output of each package.
// The line FAIL that ends a run is of no package.
func packagesOf(output string) []packageOutput {
	var packages []packageOutput
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
		if match := packageResult.FindStringSubmatch(line); match != nil {
			current.result, current.name = match[1], match[2]
			packages = append(packages, current)
			current = packageOutput{}
		}
	}
	return packages
}

func (p packageOutput) hasFailed() bool { return p.result == "FAIL" }

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
