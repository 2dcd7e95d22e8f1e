package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/configcheck"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Exit codes of a check of a platform's configuration.
const (
	exitWarnings = 1 // only with --strict
	exitErrors   = 2
)

// platformCheck are the flags of a check of a platform's configuration.
type platformCheck struct {
	inForce  string // file
	settings string // file
	servers  string // SERVICE=NUMBER,...
	strict   bool
	asJSON   bool
}

func (c *platformCheck) declare(sub *flaggy.Subcommand) {
	sub.String(&c.inForce, "f", "in-force", "platform: file with the version in force, to list what differs from it")
	sub.String(&c.settings, "g", "settings", "platform: settings file of a gateway node, whose regions must include those of routes")
	sub.String(&c.servers, "n", "servers", "platform: number of servers, SERVICE=NUMBER,..., that the attempts of routes must not exceed")
	sub.Bool(&c.strict, "s", "strict", "platform: exit status 1 if there are warnings")
	sub.Bool(&c.asJSON, "j", "json", "platform: print findings and differences as JSON")
}

func (c *platformCheck) isSet() bool { return *c != platformCheck{} }

// formatNamed returns the format of a platform, or nil.
func formatNamed(name string) *configcheck.Format {
	for _, format := range configcheck.Formats() {
		if format.Name == name {
			return &format
		}
	}
	return nil
}

// checkReport is the result of a check, as --json prints it.
type checkReport struct {
	File     string                `json:"file"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"` // from the version in force; empty without one
}

// FindingsError reports the number of findings, which have been printed.
type FindingsError struct {
	File             string
	Errors, Warnings int
}

// Error implements error.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("%s: %d errors, %d warnings", e.File, e.Errors, e.Warnings)
}

// ExitCode implements ExitCoder.
func (e *FindingsError) ExitCode() int {
	if e.Errors > 0 {
		return exitErrors
	}
	return exitWarnings
}

func (c *platformCheck) run(env *Env, format *configcheck.Format, text []byte, file string) error {
	known, err := c.known()
	if err != nil {
		return err
	}
	report := checkReport{File: file, Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	next := format.Read(text, file)
	report.Findings = append(report.Findings, configcheck.Check(next, known)...)
	if c.inForce != "" {
		if err := c.compare(format, next, &report); err != nil {
			return err
		}
	}
	report.count()
	if err := report.print(env.Stdout, c.asJSON); err != nil {
		return &OutputError{Cause: err}
	}
	if report.Errors > 0 || c.strict && report.Warnings > 0 {
		return &FindingsError{File: file, Errors: report.Errors, Warnings: report.Warnings}
	}
	return nil
}

// compare adds what differs from the version in force.
func (c *platformCheck) compare(format *configcheck.Format, next *configcheck.Document, report *checkReport) error {
	text, err := os.ReadFile(c.inForce)
	if err != nil {
		return &FileError{File: c.inForce, Cause: err}
	}
	inForce := format.Read(text, c.inForce)
	if inForce.IsUnreadable {
		return &FileError{File: c.inForce, Cause: &UsageError{Problem: "not a configuration: " + inForce.Findings[0].Message}}
	}
	changes, findings := configcheck.Compare(inForce, next)
	report.Changes = append(report.Changes, changes...)
	report.Findings = append(report.Findings, findings...)
	return nil
}

// known returns what the flags tell of the site.
func (c *platformCheck) known() (configcheck.Known, error) {
	known := configcheck.Known{Servers: map[site.ServiceName]int{}, Regions: map[string]bool{}}
	if c.settings != "" {
		settings, err := config.Load(c.settings)
		if err != nil {
			return known, err
		}
		for _, region := range settings.Regions {
			known.Regions[region] = true
		}
	}
	for _, part := range strings.FieldsFunc(c.servers, func(r rune) bool { return r == ',' }) {
		service, number, _ := strings.Cut(part, "=")
		count, err := strconv.Atoi(number)
		if err != nil || count < 0 {
			return known, &UsageError{Problem: "check: --servers must be SERVICE=NUMBER,..., not " + part}
		}
		known.Servers[site.ServiceName(service)] = count
	}
	return known, nil
}

func (r *checkReport) count() {
	for _, finding := range r.Findings {
		if finding.Severity == configcheck.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
}

func (r *checkReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: %s [%s]\n", place(r.File, f), f.Severity, f.Message, f.Code)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(&b, "%s\n", changeText(change))
	}
	if r.Errors == 0 {
		fmt.Fprintf(&b, "%s: valid (%d warnings)\n", r.File, r.Warnings)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// place returns file, line and path of a finding.
func place(file string, f configcheck.Finding) string {
	if f.Line > 0 {
		file += ":" + strconv.Itoa(f.Line)
	}
	if f.Path != "" {
		file += ": " + f.Path
	}
	return file
}

func changeText(c configcheck.Change) string {
	subject := string(c.What)
	if c.Name != "" {
		subject += " " + c.Name
	}
	switch c.Kind {
	case configcheck.Added:
		return "added " + subject + ": " + c.New
	case configcheck.Removed:
		return "removed " + subject + ": " + c.Old
	}
	return "changed " + subject + ": " + c.Path + ": " + orNone(c.Old) + " -> " + orNone(c.New)
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
