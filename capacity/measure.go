package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
)

// Measurement is the result of one run of the command.
type Measurement struct {
	Series []Series `json:"series"`
	// Resident is the resident set size in bytes of the measuring process after
	// all measurements, including the one of the largest site.
	Resident  float64 `json:"residentBytes"`
	Cores     int     `json:"cores"`
	GoVersion string  `json:"goVersion"`
}

// find returns the fit of a series. A missing series is a programming error and
// results in a fit that exceeds every limit.
func (m Measurement) find(name string) Fit {
	for _, s := range m.Series {
		if s.Name == name {
			return s.Fit
		}
	}
	return missingFit
}

func measure(ctx context.Context, options Options, progress io.Writer) (Measurement, error) {
	report := func(what string) { _, _ = fmt.Fprintln(progress, "capacity: measuring", what) }
	report("pure parts")
	all, err := pureSeries(options.Quick)
	if err != nil {
		return Measurement{}, err
	}
	report("balance and hot keys")
	all = append(all, balanceSeries(options.Quick)...)
	all = append(all, sketchSeries(options.Quick))
	sites, err := siteSeries(ctx, options.Quick, report)
	if err != nil {
		return Measurement{}, err
	}
	return Measurement{
		Series:    append(all, sites...),
		Resident:  residentSet(),
		Cores:     runtime.NumCPU(),
		GoVersion: runtime.Version(),
	}, nil
}
