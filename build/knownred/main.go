// Command knownred decides whether a run of "go test" may land. It reads the
// run's output and KNOWN-RED.txt, a file of at most three lines of the form
//
//	package.Test | cause | issue
//
// where Test is a test, a subtest (TestA/b) or a Ginkgo spec (TestSpecs: text, the
// text being the spec's with its containers', or the end of it).
// The run passes when it failed nowhere but in the listed tests. A package that
// did not build, panicked, timed out or reported a data race never passes, nor does
// one with a spec that did.
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
