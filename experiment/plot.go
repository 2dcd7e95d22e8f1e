package experiment

import (
	"fmt"
	"strings"

	"github.com/burdockspindle/burdockspindle/experiment/engine"
)

// Size of a plot's area in SVG units; the template adds room for the labels.
const (
	plotWidth  = 640.0
	plotHeight = 160.0
	// ticks is the number of parts into which the axes are divided.
	ticks = 4
)

// colors are the colors of the lines, in order.
var colors = []string{"#1b6ca8", "#c0392b", "#27874a", "#8e44ad", "#b9770e", "#34495e"}

// plot shows one figure over the time of the run, with a line for each run.
type plot struct {
	Title string
	Lines []line
	X, Y  []tick
}

// line is the line of one run.
type line struct {
	Name   string
	Color  string
	Points string // of an SVG polyline
}

// tick is one label of an axis with its position.
type tick struct {
	At    float64
	Label string
}

func newPlot(title string, results []Result, value func(engine.Second) float64) plot {
	longest, highest := 1.0, 0.0
	for _, r := range results {
		for _, second := range r.Figures.Timeline {
			longest = max(longest, second.At)
			highest = max(highest, value(second))
		}
	}
	if highest == 0 {
		highest = 1
	}
	p := plot{Title: title}
	for i, r := range results {
		p.Lines = append(p.Lines, line{
			Name:   r.Figures.Policy + " / " + r.Figures.Picker,
			Color:  colors[i%len(colors)],
			Points: points(r.Figures.Timeline, value, longest, highest),
		})
	}
	for i := range ticks + 1 {
		part := float64(i) / ticks
		p.X = append(p.X, tick{At: part * plotWidth, Label: fmt.Sprintf("%.0f s", part*longest)})
		p.Y = append(p.Y, tick{At: (1 - part) * plotHeight, Label: fmt.Sprintf("%.4g", part*highest)})
	}
	return p
}

func points(timeline []engine.Second, value func(engine.Second) float64, longest, highest float64) string {
	var text strings.Builder
	for _, second := range timeline {
		x := second.At / longest * plotWidth
		y := (1 - value(second)/highest) * plotHeight
		fmt.Fprintf(&text, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(text.String())
}
