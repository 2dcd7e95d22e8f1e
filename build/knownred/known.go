package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

const (
	// maxKnownFailures is the maximum number of listed failures that count.
	maxKnownFailures = 3
	// uncountedIssue is the issue whose entries do not count: each of its tests has an entry of its own.
	uncountedIssue = "issue 72"
)

// Entry is one line of KNOWN-RED.txt.
type Entry struct {
	Test  string // package.Test, package.Test/sub or package.TestSuite: spec
	Cause string
	Issue string
}

// ListError reports a KNOWN-RED.txt with an invalid format.
type ListError struct {
	Line    int
	Problem string
}

// Error implements error.
func (e *ListError) Error() string {
	return fmt.Sprintf("known failures, line %d: %s", e.Line, e.Problem)
}

// readKnown reads the list. A missing file is an empty list.
func readKnown(path string) ([]Entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnown(string(text))
}

func parseKnown(text string) ([]Entry, error) {
	var entries []Entry
	counted := 0
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) != 3 {
			return nil, &ListError{Line: i + 1, Problem: "want: package.Test | cause | issue"}
		}
		entry := Entry{
			Test:  strings.TrimSpace(fields[0]),
			Cause: strings.TrimSpace(fields[1]),
			Issue: strings.TrimSpace(fields[2]),
		}
		if entry.Test == "" || entry.Cause == "" || entry.Issue == "" {
			return nil, &ListError{Line: i + 1, Problem: "empty field"}
		}
		entries = append(entries, entry)
		if entry.Issue != uncountedIssue {
			counted++
		}
		if counted > maxKnownFailures {
			return nil, &ListError{Line: i + 1, Problem: "more than three entries of other issues than " + uncountedIssue}
		}
	}
	return entries, nil
}
