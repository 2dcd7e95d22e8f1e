package experiment

import (
	_ "embed"
	"html/template"
	"os"

	"github.com/burdockspindle/burdockspindle/experiment/engine"
)

//go:embed report.html
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// group is one scenario in the report.
type group struct {
	Title       string
	Description string
	Results     []Result
	Plots       []plot
}

// reportData is the data of the template.
type reportData struct {
	Columns []column
	Groups  []group
}

// writeReport writes the results as one self-contained HTML file.
func writeReport(file string, results []Result) error {
	out, err := os.Create(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if err := reportTemplate.Execute(out, reportData{Columns: columns, Groups: groups(results)}); err != nil {
		_ = out.Close()
		return &FileError{File: file, Cause: err}
	}
	if err := out.Close(); err != nil {
		return &FileError{File: file, Cause: err}
	}
	return nil
}

// groups groups adjacent results by scenario.
func groups(results []Result) []group {
	var list []group
	for _, r := range results {
		title := r.Deployment + ", " + r.Scenario
		if len(list) == 0 || list[len(list)-1].Title != title {
			list = append(list, group{Title: title, Description: r.Description})
		}
		last := &list[len(list)-1]
		last.Results = append(last.Results, r)
	}
	for i := range list {
		list[i].Plots = plots(list[i].Results)
	}
	return list
}

// plots draws the timelines of one scenario's runs.
func plots(results []Result) []plot {
	return []plot{
		newPlot("Coefficient of variation of the load of the keyed service's servers", results,
			func(s engine.Second) float64 { return s.CoefficientOfVariation }),
		newPlot("Maximum over mean of the same loads", results,
			func(s engine.Second) float64 { return s.MaxOverMean }),
		newPlot("Requests answered in time, per second", results,
			func(s engine.Second) float64 { return float64(s.Good) }),
		newPlot("p99 latency, milliseconds", results,
			func(s engine.Second) float64 { return s.P99 }),
		newPlot("Requests not run, per second", results,
			func(s engine.Second) float64 { return float64(s.NotRun) }),
		newPlot("Changes of owner, per second", results,
			func(s engine.Second) float64 { return float64(s.Moves) }),
	}
}
