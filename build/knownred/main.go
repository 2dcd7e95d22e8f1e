// Command knownred decides whether a run of "go test" passes. It reads the
// output of the run and KNOWN-RED.txt, a file of at most three lines of the form
//
//	package.Test | cause | issue
//
// where Test is a test, a subtest (TestA/b) or a Ginkgo spec (TestSpecs: text, where
// text is the text of the spec with its containers, or the end of that text).
// The run passes if its only failures are in listed tests. A package that failed to
// build, panicked, timed out or reported a data race never passes. Neither does a
// package with a spec that panicked, timed out or was interrupted.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	status := flag.Int("status", 0, "exit status of go test")
	known := flag.String("known", "KNOWN-RED.txt", "file of known failures; none when it does not exist")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: knownred -status N -known FILE OUTPUT")
		os.Exit(2)
	}
	list, err := readKnown(*known)
	if err != nil {
		fail(err)
	}
	output, err := os.ReadFile(flag.Arg(0))
	if err != nil {
		fail(err)
	}
	verdict := judge(string(output), *status, list)
	for _, line := range verdict.Lines {
		fmt.Println(line)
	}
	if !verdict.Pass {
		os.Exit(1)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "knownred:", err)
	os.Exit(1)
}
