package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	fileMode = 0o644
	dirMode  = 0o755
)

// writeTables writes the two generated tables of docs/CAPACITY.md.
func writeTables(out io.Writer, m Measurement, predictions []Prediction) error {
	var text strings.Builder
	text.WriteString("| series | unit | sizes measured | base | slope | residual | exponent |\n|---|---|---|---|---|---|---|\n")
	for _, s := range m.Series {
		fmt.Fprintf(&text, "| [%s](capacity/%s) | %s | %s %s | %.4g | %.4g | %.0f %% | %.2f |\n",
			s.Name, plotName(s.Name), s.Unit, sizes(s), s.Input, s.Fit.Base, s.Fit.Slope, 100*s.Fit.Residual, s.Fit.Exponent)
	}
	text.WriteString("\n| limit | at most | predicted | margin | beyond the largest size measured | basis |\n|---|---|---|---|---|---|\n")
	for _, p := range predictions {
		fmt.Fprintf(&text, "| %s | %.4g %s | %.4g | %s | %s | %s |\n",
			p.What, p.Limit, p.Unit, p.Predicted, margin(p), beyond(p), p.Basis)
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return &SaveError{Cause: err}
	}
	return nil
}

func sizes(s Series) string {
	texts := make([]string, len(s.Points))
	for i, p := range s.Points {
		texts[i] = fmt.Sprintf("%.0f", p.X)
	}
	return strings.Join(texts, ", ")
}

func margin(p Prediction) string {
	if p.WithinLimit() {
		return fmt.Sprintf("%.1f", p.Margin())
	}
	return fmt.Sprintf("**%.2f, exceeded**", p.Margin())
}

func beyond(p Prediction) string {
	switch {
	case p.Range == 0:
		return "arithmetic"
	case p.Range <= 1:
		return "measured"
	}
	return fmt.Sprintf("× %.1f", p.Range)
}

// save writes the measurement with its predictions, and a plot of each series.
func save(dir string, m Measurement, predictions []Prediction) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &SaveError{Cause: err}
	}
	data, err := json.MarshalIndent(struct {
		Measurement
		Predictions []Prediction `json:"predictions"`
	}{m, predictions}, "", "  ")
	if err != nil {
		return &SaveError{Cause: err}
	}
	if err := os.WriteFile(filepath.Join(dir, "capacity.json"), append(data, '\n'), fileMode); err != nil {
		return &SaveError{Cause: err}
	}
	for _, s := range m.Series {
		if err := os.WriteFile(filepath.Join(dir, plotName(s.Name)), []byte(plot(s)), fileMode); err != nil {
			return &SaveError{Cause: err}
		}
	}
	return nil
}

// plotName returns the file name of the plot of a series.
func plotName(series string) string {
	keep := func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}
	return strings.Map(keep, series) + ".svg"
}
