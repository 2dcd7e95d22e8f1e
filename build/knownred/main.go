// Command knownred decides whether runs of "go test" pass. It reads the exit status
// and the output of each, and KNOWN-RED.txt, a file of at most three lines of the form
//
//	package.Test | cause | issue
//
// and any number of such lines for the tests of issue 72, about callers that do not behave,
// where Test is a test, a subtest (TestA/b) or a Ginkgo spec (TestSpecs: text, where
// text is the text of the spec with its containers, or the end of that text).
// The runs pass if their only failures are in listed tests. A package that is in several
// runs is judged by the last of them. A package that failed to
// build, panicked, timed out or reported a data race never passes. Neither does a
// package with a spec that panicked, timed out or was interrupted.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ArgumentError reports an argument that is not STATUS:FILE.
type ArgumentError struct{ Text string }

// Error implements error.
func (e *ArgumentError) Error() string { return fmt.Sprintf("%q is not STATUS:FILE", e.Text) }

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file of known failures; none when it does not exist")
	flag.Parse()
	if flag.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "usage: knownred -known FILE STATUS:OUTPUT...")
		os.Exit(2)
	}
	list, err := readKnown(*known)
	if err != nil {
		fail(err)
	}
	var runs []Run
	for _, argument := range flag.Args() {
		run, err := readRun(argument)
		if err != nil {
			fail(err)
		}
		runs = append(runs, run)
	}
	verdict := judge(runs, list)
	for _, line := range verdict.Lines {
		fmt.Println(line)
	}
	if !verdict.Pass {
		os.Exit(1)
	}
}

// readRun reads the run that an argument names by its exit status and the file of its output.
func readRun(argument string) (Run, error) {
	number, path, _ := strings.Cut(argument, ":")
	status, err := strconv.Atoi(number)
	if err != nil {
		return Run{}, &ArgumentError{Text: argument}
	}
	output, err := os.ReadFile(path)
	return Run{Status: status, Output: string(output)}, err
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "knownred:", err)
	os.Exit(1)
}
