package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
)

// Measurement is everything that one run measured.
type Measurement struct {
	Series []Series `json:"series"`
	// Resident is the resident set of the measuring process at its end, which
	// held the largest site.
	Resident  float64 `json:"residentBytes"`
	Cores     int     `json:"cores"`
	GoVersion string  `json:"goVersion"`
}

// find returns the fit of a series; a missing one is a programming error and
// gives a fit that no limit passes.
func (m Measurement) find(name string) Fit {
	for _, s := range m.Series {
		if s.Name == name {
			return s.Fit
		}
	}
	return missingFit
}

func measure(ctx context.Context, options Options, progress io.Writer) (Measurement, error) {
	tell := func(what string) { _, _ = fmt.Fprintln(progress, "capacity: measuring", what) }
	tell("pure parts")
	all, err := pureSeries(options.Quick)
	if err != nil {
		return Measurement{}, err
	}
	tell("balance and hot keys")
	all = append(all, balanceSeries(options.Quick)...)
	all = append(all, sketchSeries(options.Quick))
	sites, err := siteSeries(ctx, options.Quick, tell)
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
