package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/gateway/ceiling"
)

func init() { Register(newCeilingCommand) }

// newCeilingCommand returns the command "ceiling", which prints what a site can serve at most.
func newCeilingCommand() Command {
	var file string
	var asJSON bool
	return Command{
		Name:        "ceiling",
		Description: "Print what demand the servers of a site can answer at most, by second, route and service, and where the loss comes from.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Bool(&asJSON, "j", "json", "print the result as JSON, with the shares of each route in each second")
			sub.AddPositionalValue(&file, "FILE", 1, true, "services, routes and demand as JSON with comments; see examples/ceiling")
		},
		Run: func(_ context.Context, env *Env) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return &FileError{File: file, Cause: err}
			}
			site, err := ceiling.Parse(text, file)
			if err != nil {
				return err
			}
			return outputError(printCeiling(env.Stdout, ceiling.Compute(site), asJSON))
		},
	}
}

func printCeiling(w io.Writer, r *ceiling.Result, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d s, bound %.3f, estimate %.3f of the value offered\n", r.Name, r.Seconds, r.Bound, r.Estimate)
	for _, s := range r.Bottlenecks {
		fmt.Fprintf(&b, "bottleneck %s: loses %.3f in seconds %s: missing servers %.0f %%, slow servers %.0f %%, demand %.0f %%\n",
			s.Service, s.Loss, rangesText(s.Spans), 100*s.Missing, 100*s.Slow, 100*s.Demand)
	}
	if len(r.Bottlenecks) == 0 {
		b.WriteString("no bottleneck: by the bound no value is lost\n")
	}
	fmt.Fprintf(&b, "\n%-8s %-24s %8s %8s\n", "", "", "bound", "estimate")
	for _, p := range r.Worst {
		printPart(&b, "second", strconv.Itoa(p.Second), p)
	}
	for _, p := range r.Zones {
		printPart(&b, "zone", p.Name, p)
	}
	for _, p := range r.Routes {
		printPart(&b, "route", p.Name, p)
	}
	for i := range r.Services {
		printCapacity(&b, &r.Services[i])
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func printPart(b *strings.Builder, kind, name string, p ceiling.Part) {
	fmt.Fprintf(b, "%-8s %-24s %8.3f %8.3f\n", kind, name, p.Bound, p.Estimate)
}

// printCapacity prints a line for each second: the work in slots of typical servers, and the percentage of the requests of each route
// that are answered in time and late.
func printCapacity(b *strings.Builder, c *ceiling.Capacity) {
	fmt.Fprintf(b, "\n%s (in time + late %%: bound / estimate)\n%6s %9s %8s %8s %8s", c.Service, "second", "requested", "capacity", "run", "backlog")
	for _, r := range c.Seconds[0].Routes {
		fmt.Fprintf(b, "  %21s", r.Route)
	}
	b.WriteString("\n")
	for _, s := range c.Seconds {
		fmt.Fprintf(b, "%6d %9.1f %8.1f %8.1f %8.1f", s.Second, s.Requested, s.Capacity, s.Run, s.Backlog)
		for _, r := range s.Routes {
			fmt.Fprintf(b, "  %21s", sharesText(r.Bound)+" / "+sharesText(r.Estimate))
		}
		b.WriteString("\n")
	}
}

func sharesText(s ceiling.Shares) string { return fmt.Sprintf("%.0f + %.0f", 100*s.InTime, 100*s.Late) }

func rangesText(ranges []ceiling.Range) string {
	parts := make([]string, len(ranges))
	for i, r := range ranges {
		parts[i] = strconv.Itoa(r.From)
		if r.To > r.From {
			parts[i] += "-" + strconv.Itoa(r.To)
		}
	}
	return strings.Join(parts, ", ")
}
