package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

func init() { Register(newExplainCommand) }

// newExplainCommand returns the command "explain", which reads the logs of several
// nodes and prints the history of one request, or a summary of the requests
// that failed.
func newExplainCommand() Command {
	var request, files string
	var isSummary bool
	return Command{
		Name:        "explain",
		Description: "Print the path of a request and the state of the nodes at that time, or a summary of the failed requests, from the logs of gateway nodes.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&request, "r", "request", "ID of the request")
			sub.Bool(&isSummary, "s", "summary", "summarize the failed requests by reason, second, server and node")
			sub.AddPositionalValue(&files, "FILES", 1, true, "log files, separated by commas")
		},
		Run: func(_ context.Context, env *Env) error {
			if isSummary == (request != "") {
				return &UsageError{Problem: "explain: either --request ID or --summary is needed"}
			}
			lines, err := readLogs(strings.Split(files, ","))
			if err != nil {
				return err
			}
			if isSummary {
				return outputError(summarize(lines).write(env.Stdout))
			}
			return explain(env.Stdout, request, lines)
		},
	}
}

// logLine is a line of a gateway node's log. All holds all of its fields, also
// those without a field here.
type logLine struct {
	Time    string         `json:"@timestamp"`
	Text    string         `json:"@message"`
	Event   int            `json:"event"`
	Node    string         `json:"node"`
	Request string         `json:"request"`
	All     map[string]any `json:"-"`
}

// stateEvents are the events that change a node's view of the site. For each of
// them, the latest line before the request is printed.
var stateEvents = []int{2000, 2001, 2010, 2014, 2015, 2016, 2101, 2103, 2105, 2302, 2312, 2320}

// maxMentions is the maximum number of lines about the request's servers that are
// printed.
const maxMentions = 6

// MissingRequestError reports that no log file contains a line of the request.
type MissingRequestError struct{ Request string }

// Error implements error.
func (e *MissingRequestError) Error() string {
	return "explain: no line of request " + e.Request + "; only a sample of the answered requests is logged, and nodes may drop lines (event 2201)"
}

// outputError wraps a write error in an *OutputError; nil stays nil.
func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{Cause: err}
}

// readLogs reads log files and returns their lines sorted by time.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, file := range files {
		read, err := readLog(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return lines, nil
}

func explain(out io.Writer, request string, lines []logLine) error {
	found := false
	for i, line := range lines {
		if line.Request != request {
			continue
		}
		found = true
		if err := explainLine(out, line, lines[:i]); err != nil {
			return outputError(err)
		}
	}
	if !found {
		return &MissingRequestError{Request: request}
	}
	return nil
}

// readLog reads a log file and skips lines that are not JSON.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	defer func() { _ = f.Close() }() // the error is irrelevant after reading
	var lines []logLine
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		var line logLine
		text := scanner.Bytes()[start:]
		if json.Unmarshal(text, &line) != nil || json.Unmarshal(text, &line.All) != nil {
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return lines, nil
}

func explainLine(out io.Writer, line logLine, before []logLine) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %v with status %v after %v\n", line.Time, line.Node, line.All["outcome"], line.All["status"], line.All["took"])
	for _, name := range []string{"reason", "route", "kind", "service", "key", "config", "table"} {
		if value, exists := line.All[name]; exists {
			fmt.Fprintf(&text, "  %s: %v\n", name, value)
		}
	}
	steps := line.text("steps")
	for step := range strings.SplitSeq(steps, "; ") {
		if step != "" {
			fmt.Fprintf(&text, "  step: %s\n", step)
		}
	}
	text.WriteString("  state of " + line.Node + " at that time:\n")
	for _, state := range latestState(line.Node, before) {
		text.WriteString("    " + describe(state) + "\n")
	}
	text.WriteString("  lines of all nodes about the servers that the request was sent to:\n")
	for _, mention := range mentions(steps, before) {
		text.WriteString("    " + mention.Node + " " + describe(mention) + "\n")
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// latestState returns a node's latest line of each of stateEvents, sorted by time.
func latestState(node string, before []logLine) []logLine {
	newest := map[int]logLine{}
	for _, line := range before {
		if line.Node == node && slices.Contains(stateEvents, line.Event) {
			newest[line.Event] = line
		}
	}
	var lines []logLine
	for _, line := range newest {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return lines
}

// mentions returns the latest lines about the servers that the steps name, at
// most maxMentions.
func mentions(steps string, before []logLine) []logLine {
	var lines []logLine
	for _, line := range before {
		server := line.text("server")
		if server != "" && strings.Contains(steps, server) {
			lines = append(lines, line)
		}
	}
	return lines[max(0, len(lines)-maxMentions):]
}

// omittedFields are the fields of a line that are printed elsewhere or are of no
// use to the reader.
var omittedFields = []string{"@timestamp", "@message", "@level", "event", "node"}

func describe(line logLine) string {
	text := line.Time + " " + line.Text
	names := make([]string, 0, len(line.All))
	for name := range line.All {
		if !slices.Contains(omittedFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, line.All[name])
	}
	return text
}
