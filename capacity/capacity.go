// Package capacity measures how what a node spends grows with the size of its
// site, fits a line to each growth, and extrapolates to the size that the
// project is designed for. It drives the code that runs in production: the pure
// parts alone, and small whole sites on loopback with stand-ins. The command
// "burdockspindle capacity" writes the tables and plots of docs/CAPACITY.md.
package capacity

import (
	"context"
	"io"
)

// Point is one measurement: an input's size and what it cost.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one growth that was measured.
type Series struct {
	Name   string  `json:"name"`
	Input  string  `json:"input"` // what X counts
	Unit   string  `json:"unit"`  // of Y
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// newSeries fits a line to the points.
func newSeries(name, input, unit string, points []Point) Series {
	return Series{Name: name, Input: input, Unit: unit, Points: points, Fit: FitLine(points)}
}

// Options says what to measure.
type Options struct {
	// Quick measures fewer and smaller sizes, for a look and for tests; its
	// figures do not go into the page.
	Quick bool
	// Dir receives capacity.json and a plot of each series; empty for none.
	Dir string
}

// Run measures every series, extrapolates, and writes the tables to out.
func Run(ctx context.Context, options Options, out, progress io.Writer) error {
	all, err := measure(ctx, options, progress)
	if err != nil {
		return err
	}
	predictions := Predict(DesignSize(), all)
	if options.Dir != "" {
		if err := save(options.Dir, all, predictions); err != nil {
			return err
		}
	}
	return writeTables(out, all, predictions)
}
