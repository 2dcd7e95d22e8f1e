package capacity

import (
	"fmt"
	"html"
	"strings"
)

// Size of a plot and the margin for its labels, in SVG units.
const (
	plotWidth  = 480.0
	plotHeight = 240.0
	plotMargin = 60.0
)

// plot returns an SVG plot of the points of a series and its fitted line.
func plot(s Series) string {
	highest := s.Fit.At(s.Fit.Largest)
	for _, p := range s.Points {
		highest = max(highest, p.Y)
	}
	if highest <= 0 || s.Fit.Largest <= 0 {
		highest = 1
	}
	at := func(x, y float64) (float64, float64) {
		return plotMargin + x/s.Fit.Largest*plotWidth, plotMargin/2 + (1-y/highest)*plotHeight
	}
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth+2*plotMargin, plotHeight+2*plotMargin)
	fmt.Fprintf(&svg, `<text x="%.0f" y="18">%s (%s)</text>`+"\n", plotMargin, html.EscapeString(s.Name), html.EscapeString(s.Unit))
	x0, y0 := at(0, max(s.Fit.Base, 0))
	x1, y1 := at(s.Fit.Largest, s.Fit.At(s.Fit.Largest))
	fmt.Fprintf(&svg, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#1b6ca8"/>`+"\n", x0, y0, x1, y1)
	left, bottom := at(0, 0)
	fmt.Fprintf(&svg, `<path d="M%.1f %.1f V%.1f H%.1f" fill="none" stroke="#888"/>`+"\n", left, plotMargin/2, bottom, left+plotWidth)
	for _, p := range s.Points {
		x, y := at(p.X, p.Y)
		fmt.Fprintf(&svg, `<circle cx="%.1f" cy="%.1f" r="4" fill="#c0392b"/>`+"\n", x, y)
		fmt.Fprintf(&svg, `<text x="%.1f" y="%.1f" text-anchor="middle">%.0f</text>`+"\n", x, bottom+16, p.X)
		fmt.Fprintf(&svg, `<text x="%.1f" y="%.1f" text-anchor="end">%.3g</text>`+"\n", x-6, y-6, p.Y)
	}
	fmt.Fprintf(&svg, `<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`+"\n", left+plotWidth/2, bottom+36, html.EscapeString(s.Input))
	svg.WriteString("</svg>\n")
	return svg.String()
}
