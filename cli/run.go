package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/settings"
)

// RunNode runs an entry node until ctx ends, then drains it.
type RunNode func(ctx context.Context, s *settings.Settings, logger hclog.Logger) error

// RunCommand returns the command "run", which reads a settings file and runs a
// node. SIGTERM and SIGINT request a graceful drain; a second signal ends the
// program at once.
func RunCommand(run RunNode) func() Command {
	return func() Command {
		var file string
		var jsonLog bool
		return Command{
			Name:        "run",
			Description: "Run one entry node until SIGTERM or SIGINT, then drain it.",
			Flags: func(sub *flaggy.Subcommand) {
				sub.String(&file, "s", "settings", "settings file (JSON with comments)")
				sub.Bool(&jsonLog, "", "json-log", "write the log as JSON lines")
			},
			Run: func(ctx context.Context, env *Env) error {
				return runNode(ctx, env, run, file, jsonLog)
			},
		}
	}
}

func runNode(ctx context.Context, env *Env, run RunNode, file string, jsonLog bool) error {
	if file == "" {
		return &UsageError{Problem: "run: --settings FILE is needed"}
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       string(s.Node),
		Level:      hclog.LevelFromString(s.LogLevel),
		Output:     env.Stderr,
		JSONFormat: jsonLog,
	})
	CaptureStandardLog(logger)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The first signal ends ctx. stop then restores the default action, so that a
	// second signal ends the program.
	context.AfterFunc(ctx, stop)
	return run(ctx, s, logger)
}
