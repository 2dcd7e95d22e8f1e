package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

func writeJSON(out io.Writer, results any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(results); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

// columns are the columns of the text output and the report, in order.
var columns = []column{
	{"CV", "%.3f", func(r *Result) any { return r.Figures.CoefficientOfVariation }},
	{"max/mean", "%.2f", func(r *Result) any { return r.Figures.MaxOverMean }},
	{"moves/min", "%.1f", func(r *Result) any { return r.Figures.MovesPerMinute }},
	{"keys moved", "%d", func(r *Result) any { return r.Figures.KeysMoved }},
	{"unavail. key-s", "%.1f", func(r *Result) any { return r.Figures.UnavailableKeySeconds }},
	{"unavail. %", "%.4f", func(r *Result) any { return 100 * r.Figures.UnavailableShare }},
	{"goodput/s", "%.0f", func(r *Result) any { return r.Figures.Goodput }},
	{"good %", "%.2f", func(r *Result) any { return 100 * r.Figures.GoodputShare }},
	{"p50 ms", "%.1f", func(r *Result) any { return r.Figures.P50 }},
	{"p99 ms", "%.0f", func(r *Result) any { return r.Figures.P99 }},
	{"p99.9 ms", "%.0f", func(r *Result) any { return r.Figures.P999 }},
	{"not run", "%d", func(r *Result) any { return r.Figures.NotRun }},
	{"unknown", "%d", func(r *Result) any { return r.Figures.Unknown }},
	{"retries ×", "%.3f", func(r *Result) any { return r.Figures.RetryAmplification }},
	{"probes", "%d", func(r *Result) any { return r.Figures.Probes }},
	{"over limit", "%d", func(r *Result) any { return r.Figures.LimitExceeded }},
	{"recovery s", "%.0f", func(r *Result) any { return r.Figures.RecoverySeconds }},
}

type column struct {
	Title  string
	format string
	value  func(*Result) any
}

// Cell returns the column's text for a run.
func (c column) Cell(r *Result) string { return fmt.Sprintf(c.format, c.value(r)) }

func writeText(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	scenario := ""
	for i := range results {
		r := &results[i]
		if r.Scenario != scenario {
			scenario = r.Scenario
			writeHeading(table, r)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t", r.Figures.Policy, r.Figures.Picker)
		for _, c := range columns {
			_, _ = fmt.Fprintf(table, "%s\t", c.Cell(r))
		}
		_, _ = fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

func writeHeading(table *tabwriter.Writer, r *Result) {
	_ = table.Flush()
	_, _ = fmt.Fprintf(table, "\n%s, %s, seed %d: %s\n", r.Deployment, r.Scenario, r.Seed, r.Description)
	_, _ = fmt.Fprint(table, "policy\tpick\t")
	for _, c := range columns {
		_, _ = fmt.Fprintf(table, "%s\t", c.Title)
	}
	_, _ = fmt.Fprintln(table)
}
