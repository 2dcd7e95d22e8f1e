package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/logsink"
)

var eventLinesDropped = events.Define(2202, hclog.Warn, "log lines dropped")

// RunGateway runs a gateway node until ctx ends, then shuts it down. file is the
// file from which the settings s were loaded.
type RunGateway func(ctx context.Context, file string, s *config.Settings, logger hclog.Logger) error

// GatewayCommand returns the command "gateway", which runs a gateway node. Its
// log goes to standard output as JSON lines.
func GatewayCommand(run RunGateway) func() Command {
	return func() Command {
		var file string
		return Command{
			Name:        "gateway",
			Description: "Run a gateway node on a platform until SIGTERM or SIGINT, then shut it down gracefully.",
			Flags: func(sub *flaggy.Subcommand) {
				sub.String(&file, "s", "settings", "settings file (JSON with comments)")
			},
			Run: func(ctx context.Context, env *Env) error { return runGateway(ctx, env, run, file) },
		}
	}
}

func runGateway(ctx context.Context, env *Env, run RunGateway, file string) error {
	if file == "" {
		return &UsageError{Problem: "gateway: --settings FILE is needed"}
	}
	s, err := config.Load(file)
	if err != nil {
		return err
	}
	sink := logsink.New(env.Stdout)
	defer sink.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Level:      hclog.LevelFromString(s.LogLevel),
		Output:     sink,
		JSONFormat: true,
	})
	sink.OnDrop(func(lines int64) { eventLinesDropped.Log(logger, "lines", lines) })
	CaptureStandardLog(logger)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, file, s, logger)
}
