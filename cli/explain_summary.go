package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Events that a summary counts: finished requests, and dropped lines of requests.
const (
	requestEvent = 2200
	droppedEvent = 2201
)

// leaseEvents are the events about a transfer of the lessor's lease, successful or
// not.
var leaseEvents = []int{2101, 2103, 2105, 2114, 2115, 2116}

// maxNamed is the maximum number of servers, and of nodes, that a summary lists.
const maxNamed = 8

// failureKey groups the failed requests of a service by outcome and reason.
type failureKey struct{ service, outcome, reason string }

// summary aggregates the failed requests in the logs of several nodes.
type summary struct {
	failures map[failureKey]int
	seconds  map[int64]map[failureKey]int
	servers  map[string]int // by the last server that a failed request was sent to or waited for
	nodes    map[string]int
	lease    []logLine
	first    time.Time
	dropped  float64 // number of lines that nodes dropped
}

// summarize aggregates lines, which are sorted by time.
func summarize(lines []logLine) *summary {
	s := &summary{failures: map[failureKey]int{}, seconds: map[int64]map[failureKey]int{}, servers: map[string]int{}, nodes: map[string]int{}}
	for _, line := range lines {
		at, err := time.Parse(time.RFC3339, line.Time)
		if err != nil {
			continue
		}
		if s.first.IsZero() {
			s.first = at
		}
		switch {
		case line.Event == requestEvent:
			s.countRequest(line, int64(at.Sub(s.first)/time.Second))
		case line.Event == droppedEvent:
			dropped, _ := line.All["lines"].(float64)
			s.dropped += dropped
		case slices.Contains(leaseEvents, line.Event):
			s.lease = append(s.lease, line)
		}
	}
	return s
}

// countRequest counts a request if it failed: its outcome is not "answered", or its
// status is 500 or above.
func (s *summary) countRequest(line logLine, second int64) {
	status, _ := line.All["status"].(float64)
	if line.text("outcome") == "answered" && status < 500 {
		return
	}
	key := failureKey{service: line.text("service"), outcome: line.text("outcome"), reason: line.text("reason")}
	s.failures[key]++
	if s.seconds[second] == nil {
		s.seconds[second] = map[failureKey]int{}
	}
	s.seconds[second][key]++
	s.nodes[line.Node]++
	if server := lastServer(line.text("steps")); server != "" {
		s.servers[server]++
	}
}

// text returns the value of a string field; empty if the line has none.
func (l logLine) text(field string) string {
	value, _ := l.All[field].(string)
	return value
}

// lastServer returns the server of the last step that names one; empty if none
// does.
func lastServer(steps string) string {
	list := strings.Split(steps, "; ")
	for _, step := range slices.Backward(list) {
		if rest, isSend := strings.CutPrefix(step, "sent to "); isSend {
			server, _, _ := strings.Cut(rest, ",")
			return server
		}
		if server, _, isShare := strings.Cut(step, " gets "); isShare {
			return server
		}
	}
	return ""
}

// write prints the summary: failed requests by reason, the most frequent reasons of each
// second, servers, nodes, and changes of the lessor's lease.
func (s *summary) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\tservice\toutcome\treason\n")
	keys := byCount(s.failures)
	for _, key := range keys {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", s.failures[key], key.service, key.outcome, key.reason)
	}
	fmt.Fprintf(table, "\nsecond\trequests\tmost for\n")
	for _, second := range slices.Sorted(maps.Keys(s.seconds)) {
		counts := s.seconds[second]
		total := 0
		for _, n := range counts {
			total += n
		}
		var reasons []string
		for _, key := range byCount(counts) {
			reasons = append(reasons, fmt.Sprintf("%d %s %s", counts[key], key.service, cmp.Or(key.reason, key.outcome)))
		}
		fmt.Fprintf(table, "%d\t%d\t%s\n", second, total, strings.Join(reasons[:min(len(reasons), 3)], ", "))
	}
	writeNamed(table, "server", s.servers)
	writeNamed(table, "node", s.nodes)
	fmt.Fprintf(table, "\nchanges of the lessor's lease\n")
	for _, line := range s.lease {
		fmt.Fprintf(table, "%s %s\n", line.Node, describe(line))
	}
	if s.dropped > 0 {
		fmt.Fprintf(table, "\n%.0f lines of requests were left out by the nodes\n", s.dropped)
	}
	return table.Flush()
}

// writeNamed prints the maxNamed names with the most requests.
func writeNamed(out io.Writer, what string, counts map[string]int) {
	fmt.Fprintf(out, "\n%s\trequests\n", what)
	names := byCount(counts)
	for _, name := range names[:min(len(names), maxNamed)] {
		fmt.Fprintf(out, "%s\t%d\n", name, counts[name])
	}
}

// byCount returns the keys of counts in descending order of count.
func byCount[K comparable](counts map[K]int) []K {
	keys := slices.Collect(maps.Keys(counts))
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(fmt.Sprint(a), fmt.Sprint(b)))
	})
	return keys
}
