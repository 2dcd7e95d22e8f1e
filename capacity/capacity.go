// Package capacity measures how the resource usage of a node grows with the size
// of its site, fits a line to each measured series, and extrapolates to the size
// that the project is designed for. It runs production code: the parts without I/O
// alone, and small complete sites on the loopback interface with stand-ins. The
// command "burdockspindle capacity" writes the tables and plots of
// docs/CAPACITY.md.
package capacity

import (
	"context"
	"io"
)

// Point is one measurement: the size of an input and its cost.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a measured cost at several sizes of one input.
type Series struct {
	Name   string  `json:"name"`
	Input  string  `json:"input"` // what X counts
	Unit   string  `json:"unit"`  // unit of Y
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// newSeries returns a series with a line fitted to its points.
func newSeries(name, input, unit string, points []Point) Series {
	return Series{Name: name, Input: input, Unit: unit, Points: points, Fit: FitLine(points)}
}

// Options holds the options of a measurement.
type Options struct {
	// Quick measures fewer and smaller sizes, for a first impression and for
	// tests. Its figures are not published in docs/CAPACITY.md.
	Quick bool
	// Dir is the folder for capacity.json and a plot of each series. If it is
	// empty, no files are written.
	Dir string
}

// Run measures every series, extrapolates to the design size, and writes the
// tables to out.
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
