package demo

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
)

func init() { cli.Register(newCommand) }

func newCommand() cli.Command {
	options := Options{Requests: DefaultRequests, Seed: DefaultSeed, Deployment: DefaultDeployment}
	verbose, historyFile := false, ""
	return cli.Command{
		Name:        "demo",
		Description: "Run a whole site under load and faults and print a summary as one line of JSON.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Int(&options.Requests, "n", "requests", "requests to send")
			sub.UInt64(&options.Seed, "", "seed", "seed of requests and faults")
			sub.String(&options.Deployment, "d", "deployment", "kavango or urbion")
			sub.Bool(&verbose, "", "verbose", "print the log lines of nodes and servers")
			sub.String(&historyFile, "", "history", "file to write the recorded history to, as lines of JSON")
		},
		Run: func(ctx context.Context, env *cli.Env) error {
			if historyFile != "" {
				file, err := os.Create(historyFile)
				if err != nil {
					return &cli.FileError{File: historyFile, Cause: err}
				}
				defer func() { _ = file.Close() }()
				options.History = file
			}
			return runCommand(ctx, env, options, verbose)
		},
	}
}

func runCommand(ctx context.Context, env *cli.Env, options Options, verbose bool) error {
	if options.Requests <= 0 {
		return &cli.UsageError{Problem: "demo: --requests must be above 0"}
	}
	options.Logger = hclog.New(&hclog.LoggerOptions{Name: "demo", Level: hclog.Info, Output: env.Stderr})
	level := hclog.Error
	if verbose {
		level = hclog.Info
	}
	options.Nodes = hclog.New(&hclog.LoggerOptions{Name: "site", Level: level, Output: env.Stderr})
	cli.CaptureStandardLog(options.Nodes)
	summary, err := Run(ctx, options)
	if summary.Sent == 0 {
		return err
	}
	if failed := summary.Write(env.Stdout); failed != nil {
		return &cli.OutputError{Cause: failed}
	}
	return err
}
