package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

func init() {
	Register(newPublishCommand)
	Register(newSiteCommand)
}

func newPublishCommand() Command {
	var flags adminFlags
	var base, file string
	return Command{
		Name:        "publish",
		Description: "Publish a site configuration that replaces a version (exit status 3 on a conflict).",
		Flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "site configuration (JSON with comments)")
			sub.String(&base, "b", "base", "version that the file replaces; 0 for the first")
			flags.declare(sub)
		},
		Run: func(ctx context.Context, env *Env) error { return publish(ctx, env, flags, base, file) },
	}
}

func publish(ctx context.Context, env *Env, flags adminFlags, base, file string) error {
	version, err := strconv.ParseUint(base, 10, 64)
	if err != nil {
		return &UsageError{Problem: "publish: --base VERSION is needed: the version that the file replaces, 0 for the first"}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if _, problems := siteconfig.Parse(text, file); len(problems) > 0 {
		return jsonc.ErrorOf(problems)
	}
	client, err := flags.client(env)
	if err != nil {
		return err
	}
	published, err := client.Publish(ctx, version, text, nil)
	if err != nil {
		return explainPublish(err, file)
	}
	return printPublished(env, published)
}

func printPublished(env *Env, published adminapi.Published) error {
	text := fmt.Sprintf("version %d accepted", published.Version)
	if published.Repeated {
		text += " (by an earlier attempt)"
	}
	if published.InForce > published.Version {
		text += fmt.Sprintf("; version %d is in force since", published.InForce)
	}
	return printLine(env, text)
}

func printLine(env *Env, text string) error {
	if _, err := fmt.Fprintln(env.Stdout, text); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

// explainPublish converts a conflict to a *ConflictError, which has its own exit
// code, and sets the local file name in problems.
func explainPublish(err error, file string) error {
	var failure *adminapi.Failure
	if !errors.As(err, &failure) {
		return err
	}
	if failure.Code == adminapi.CodeConflict {
		return &ConflictError{Failure: failure}
	}
	if len(failure.Problems) == 0 {
		return err
	}
	for i := range failure.Problems {
		failure.Problems[i].File = file
	}
	return jsonc.ErrorOf(failure.Problems)
}

// ConflictError reports that another site configuration replaced the base version
// first.
type ConflictError struct{ Failure *adminapi.Failure }

// Error implements error.
func (e *ConflictError) Error() string { return e.Failure.Error() }

// Unwrap returns the API's failure.
func (e *ConflictError) Unwrap() error { return e.Failure }

// ExitCode implements ExitCoder.
func (e *ConflictError) ExitCode() int { return ExitConflict }

func newSiteCommand() Command {
	var flags adminFlags
	return Command{
		Name:        "site",
		Description: "Print the site configuration in force; its version goes to stderr.",
		Flags:       flags.declare,
		Run: func(ctx context.Context, env *Env) error {
			client, err := flags.client(env)
			if err != nil {
				return err
			}
			site, err := client.Site(ctx)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(env.Stderr, "version %d\n", site.Version)
			if _, err := fmt.Fprint(env.Stdout, site.Text); err != nil {
				return &OutputError{Cause: err}
			}
			return nil
		},
	}
}
